/** Stand-in for an instance: runs requests, echoes their id, signs its answers and registers in the store. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1_500;

export class Instance {
  #connections = new Set();

  /**
   * @param options - `id`, `service`, `ip`, `port`, `zone`, `slots`, `workMs`, `healthPath`, `store` and `record`;
   * `answer` may replace the plain answer.
   */
  constructor(options) {
    Object.assign(this, { zone: 'z1', slots: 50, workMs: 5, healthPath: '/health' }, options);
    this.state = 'ready';
    this.runs = [];
    this.sequence = 0;
  }

  async start() {
    this.born = Date.now();
    this.server = createServer((incoming, outgoing) => {
      void this.#handle(incoming, outgoing);
    });
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', (socket) => {
      this.#connections.add(socket);
      socket.once('close', () => this.#connections.delete(socket));
      socket.on('error', () => undefined);
    });
    this.server.listen(this.port, this.ip);
    await once(this.server, 'listening');
  }

  /** Starts, registers, and defers the end. */
  async open(defer) {
    await this.start();
    defer(() => this.dispose());
    this.register();
  }

  /** Writes its entry now and at every heartbeat. */
  register() {
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    const { id, service, ip, port, zone, slots, state, born } = this;
    this.sequence += 1;
    const entry = {
      service,
      address: `${ip}:${port}`,
      zone,
      config_version: 'v1',
      slots,
      state,
      cold_left: '0ms',
      sequence: 0,
      born,
    };
    return this.store.beat(`servers/${id}`, JSON.stringify(entry));
  }

  /** Ends as a crash does: no word to the store, all connections reset. */
  async crash() {
    clearInterval(this.timer);
    this.#connections.forEach((socket) => socket.resetAndDestroy());
    const closed = once(this.server, 'close');
    this.server.close();
    await closed;
  }

  async dispose() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  async #handle(incoming, outgoing) {
    const chunks = await incoming.toArray().catch(() => undefined);
    if (chunks === undefined) {
      return;
    }
    if (incoming.method === 'GET' && incoming.url === this.healthPath) {
      const status = this.state === 'ready' ? 200 : 503;
      outgoing.writeHead(status, { 'x-instance-id': this.id }).end();
      return;
    }
    const id = incoming.headers['x-request-id'];
    if (id === undefined) {
      outgoing.writeHead(400, { 'x-not-executed': '1' }).end();
      return;
    }
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      outgoing
        .writeHead(421, { 'x-request-id': id, 'x-not-executed': '1', 'x-instance-id': this.id })
        .end();
      return;
    }
    this.runs.push({ id, ms: performance.now(), path: incoming.url });
    this.record?.(`run ${id} ${incoming.method} ${incoming.url} at ${this.id} (${this.service})`);
    if (this.answer !== undefined) {
      this.answer(incoming, outgoing, id, Buffer.concat(chunks));
      return;
    }
    await sleep(this.workMs);
    const headers = { 'x-request-id': id, 'x-response-seal': `seal.${this.id}.${id}` };
    const closing = this.state === 'ready' ? {} : { connection: 'close' };
    outgoing.writeHead(200, { ...headers, ...closing }).end(`answer to ${id} by ${this.id}`);
  }
}
