import type { AnswerFraming, NodeCommand } from '../../../src/process/node/index.js';
import type { RandomSource } from '../../../src/process/time/index.js';
import type { EventQueue } from './EventQueue.js';
import type { FakeNode } from './FakeNode.js';

/** Time until a crashed backend server is up again. */
const RESTART_MS = 400;

/** Fraction of the calls that the backend server sheds without running them. */
const SHED_FRACTION = 0.02;

type BackendCall = Extract<NodeCommand, { kind: 'callBackend' }>;

/** Record of one run of a request on a backend server. */
export interface RunRecord {
  readonly requestId: string;
  readonly rootId: string;
  readonly vm: string;
  readonly atMs: number;
}

/**
 * Simulated backend server. The target selects its behavior: `/child/...` first calls a route of the service `deep`,
 * `/slow/...` takes 2 s, `/poison/...` crashes it.
 */
export class FakeBackend {
  readonly #options: {
    node: FakeNode;
    events: EventQueue;
    random: RandomSource;
    runs: RunRecord[];
  };

  readonly #running = new Set<string>();

  #generation = 0;

  #isUp = true;

  crashes = 0;

  /** Status code of all answers. */
  status = 200;

  /** How the end of its answers is determined. */
  framing: AnswerFraming = 'length';

  constructor(options: {
    node: FakeNode;
    events: EventQueue;
    random: RandomSource;
    runs: RunRecord[];
  }) {
    this.#options = options;
  }

  /** Runs a call, or refuses the connection while the backend server is down. */
  run(call: BackendCall): void {
    const { node, events, runs, random } = this.#options;
    const { callId } = call;
    if (!this.#isUp) {
      events.schedule(1, () =>
        node.receive({ kind: 'backendResult', callId, result: { kind: 'notSent' } }),
      );
      return;
    }
    if (random.next() < SHED_FRACTION) {
      events.schedule(1, () => node.receiveAnswer(callId, 503, ''));
      return;
    }
    const requestId = readHeader(call, 'x-request-id');
    runs.push({
      requestId,
      rootId: readHeader(call, 'tanagerpond-root'),
      vm: node.name,
      atMs: events.nowMs,
    });
    this.#running.add(callId);
    if (call.target.startsWith('/poison')) {
      events.schedule(1, () => this.crash());
      return;
    }
    const serviceMs = call.target.startsWith('/slow') ? 2_000 : 5 + random.next() * 50;
    events.schedule(serviceMs, () => this.#continue(call, requestId, this.#generation));
  }

  /** Ends a run because the node closed the connection. */
  cancel(callId: string): void {
    const { node, events } = this.#options;
    if (this.#running.delete(callId)) {
      events.schedule(1, () =>
        node.receive({ kind: 'backendResult', callId, result: { kind: 'cancelled' } }),
      );
    }
  }

  /** Crashes the backend server; it is up again after 400 ms. */
  crash(): void {
    const { node, events } = this.#options;
    this.#generation += 1;
    this.crashes += 1;
    this.#isUp = false;
    const lost = [...this.#running];
    this.#running.clear();
    lost.forEach((callId) =>
      node.receive({ kind: 'backendResult', callId, result: { kind: 'broken' } }),
    );
    events.schedule(RESTART_MS, () => {
      this.#isUp = true;
      node.receive({ kind: 'backendHealth', state: 'healthy' });
    });
  }

  #continue(call: BackendCall, requestId: string, generation: number): void {
    if (!this.#running.has(call.callId)) {
      return;
    }
    if (!call.target.startsWith('/child')) {
      this.#answer(call, `answer to ${requestId}`);
      return;
    }
    const headers = [['x-request-id', `${requestId}/child`]] as const;
    const token = readHeader(call, 'tanagerpond-call');
    const { node } = this.#options;
    node.request(
      `/deep${call.target.replace('/child', '')}`,
      call.method,
      headers,
      token,
      (end) => {
        if (generation === this.#generation) {
          this.#answer(call, end.kind === 'answered' ? `answer to ${requestId}` : 'child failed');
        }
      },
    );
  }

  #answer(call: BackendCall, body: string): void {
    if (this.#running.delete(call.callId)) {
      this.#options.node.receiveAnswer(call.callId, this.status, body, this.framing);
    }
  }
}

function readHeader(call: BackendCall, name: string): string {
  return call.headers.find(([header]) => header === name)?.[1] ?? '';
}
