/** Stand-in for the platform's store: reads, paged reads and watches, as the protocol page describes them. */
import { once } from 'node:events';
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;
const ANSWER_MS = 4;
const MAX_WAIT_MS = 30_000;

/** Heartbeat of the instances, and the silence after which their entries are removed, in milliseconds. */
const HEARTBEAT_MS = 1_500;
const LAPSE_MS = 3 * HEARTBEAT_MS;

function describe({ key, value, revision, created }) {
  if (value === undefined) {
    return { key, revision, removed: true };
  }
  const encoded = Buffer.from(value).toString('base64');
  return { key, value: encoded, revision, created_at: created, lease_id: 0 };
}

function sendBody(outgoing, body) {
  if (!outgoing.destroyed) {
    outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }
}

export class Store {
  #items = new Map();

  #events = [];

  #revision = 10;

  #waiting = new Set();

  #lapses = new Map();

  /** While true, every call is answered with 503 and nothing is done. */
  isDown = false;

  /** Starts to listen on a free port. */
  async start(host = '127.0.0.1') {
    this.server = createServer((incoming, outgoing) => this.#handle(incoming, outgoing));
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.address = `${host}:${this.port}`;
    this.timer = setInterval(() => this.#removeLapsed(), 100);
  }

  /** Writes an item; the return of this call is the acknowledgement. */
  put(key, value) {
    const former = this.#items.get(key);
    if (former?.value === value) {
      return;
    }
    this.#revision += 1;
    const revision = this.#revision;
    const item = { key, value, revision, created: former?.created ?? revision };
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision });
    }
  }

  /** A heartbeat of an instance: writes the entry and keeps it for three heartbeat intervals. */
  beat(key, value) {
    if (this.isDown) {
      return false;
    }
    this.put(key, value);
    this.#lapses.set(key, performance.now() + LAPSE_MS);
    return true;
  }

  /** Begins an outage: calls are answered with 503, and watches that wait are cut. */
  setDown(isDown) {
    this.isDown = isDown;
    if (isDown) {
      this.server.closeAllConnections();
    }
  }

  dispose() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  #removeLapsed() {
    const nowMs = performance.now();
    this.#lapses.forEach((untilMs, key) => {
      if (untilMs <= nowMs) {
        this.#lapses.delete(key);
        this.remove(key);
      }
    });
  }

  #record(event) {
    this.#events.push(event);
    [...this.#waiting].forEach((wake) => wake());
  }

  #handle(incoming, outgoing) {
    const url = new URL(incoming.url, 'http://store');
    setTimeout(() => {
      if (this.isDown) {
        outgoing.writeHead(503).end();
      } else if (url.pathname === '/api/kv-range') {
        this.#answerRange(url.searchParams, outgoing);
      } else if (url.pathname === '/api/kv-watch') {
        this.#answerWatch(url.searchParams, outgoing);
      } else {
        outgoing.writeHead(404).end();
      }
    }, ANSWER_MS);
  }

  #answerRange(query, outgoing) {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    sendBody(outgoing, {
      items: found.slice(0, PAGE_ITEMS).map(describe),
      has_more: found.length > PAGE_ITEMS,
      store_revision: this.#revision,
    });
  }

  #answerWatch(query, outgoing) {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const finish = () => {
      const events = this.#events.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
      sendBody(outgoing, { events: events.map(describe), store_revision: this.#revision });
    };
    if (this.#events.some(({ key, revision }) => key.startsWith(prefix) && revision > after)) {
      finish();
      return;
    }
    const wait = { timer: undefined };
    const wake = () => {
      if (this.#events.at(-1).key.startsWith(prefix)) {
        clearTimeout(wait.timer);
        this.#waiting.delete(wake);
        finish();
      }
    };
    wait.timer = setTimeout(
      () => {
        this.#waiting.delete(wake);
        finish();
      },
      Math.min(MAX_WAIT_MS, Number(query.get('wait_ms'))),
    );
    this.#waiting.add(wake);
    outgoing.once('close', () => {
      clearTimeout(wait.timer);
      this.#waiting.delete(wake);
    });
  }
}
