/** TCP proxy whose open connections can go silent: bytes are dropped in both directions and nothing is closed. */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';

export class Proxy {
  #pairs = new Set();

  constructor(target) {
    const [host, port] = target.split(':');
    this.target = { host, port: Number(port) };
  }

  async start(host = '127.0.0.1') {
    this.server = createServer((client) => this.#accept(client));
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Silences the connections that are open now, and returns their number; later ones work. */
  silence() {
    const open = [...this.#pairs].filter((pair) => !pair.isSilent);
    open.forEach((pair) => Object.assign(pair, { isSilent: true }));
    return open.length;
  }

  dispose() {
    this.#pairs.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
    this.server.close();
  }

  #accept(client) {
    const upstream = connect(this.target);
    const pair = { client, upstream, isSilent: false };
    this.#pairs.add(pair);
    const forward = (from, to) => {
      from.on('data', (bytes) => pair.isSilent || to.write(bytes));
      from.on('error', () => undefined);
      from.once('close', () => {
        this.#pairs.delete(pair);
        if (!pair.isSilent) {
          to.destroy();
        }
      });
    };
    forward(client, upstream);
    forward(upstream, client);
  }
}
