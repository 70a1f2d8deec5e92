import {
  NodeStateMachine,
  type AnswerFraming,
  type NodeCommand,
  type NodeMessage,
} from '../../../src/process/node/index.js';
import type { VmIdentity } from '../../../src/process/membership/index.js';
import type { RandomSource } from '../../../src/process/time/index.js';
import type { EventQueue } from './EventQueue.js';
import { FakeBackend, type RunRecord } from './FakeBackend.js';
import type { FakeLinks, FakePeer } from './FakeLinks.js';

const TICK_MS = 50;

/** How a request ended for its sender. */
export type RequestEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly closeDelimited: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly outcome: string;
      readonly ticket: string | undefined;
    }
  /** The process ended before it answered. */
  | { readonly kind: 'lost' };

/** Options of a simulated node. */
export interface FakeNodeOptions {
  readonly identity: VmIdentity;
  readonly events: EventQueue;
  readonly links: FakeLinks;
  readonly random: RandomSource;
  readonly runs: RunRecord[];
  readonly observe?: (
    nowMs: number,
    vm: string,
    message: NodeMessage,
    commands: readonly NodeCommand[],
  ) => void;
}

/** Node state machine with a simulated host: stored bodies, backend server, requesters and ticks. */
export class FakeNode implements FakePeer {
  readonly name: string;

  readonly incarnation: string;

  /** Errors of the host that the node caused. */
  readonly faults: string[] = [];

  readonly backend: FakeBackend;

  readonly #options: FakeNodeOptions;

  readonly #machine: NodeStateMachine;

  readonly #bodies = new Map<string, string>();

  readonly #requesters = new Map<string, (end: RequestEnd) => void>();

  readonly #pausedActions: (() => void)[] = [];

  #isFrozen = false;

  #isAlive = true;

  #requestCount = 0;

  constructor(options: FakeNodeOptions) {
    const { identity, events, random, runs } = options;
    this.name = identity.name;
    this.incarnation = identity.incarnation;
    this.#options = options;
    this.#machine = new NodeStateMachine({
      self: identity,
      random,
      trustedKeys: [],
      startedMs: events.nowMs,
      drainLimitMs: 5_000,
      createToken: () => `token-${identity.incarnation}-${Math.floor(random.next() * 1e12)}`,
      ticketSecret: Buffer.from(identity.incarnation),
    });
    this.backend = new FakeBackend({ node: this, events, random, runs });
    this.#tick();
  }

  isAlive(): boolean {
    return this.#isAlive;
  }

  isFrozen(): boolean {
    return this.#isFrozen;
  }

  /** Ends the process without a planned stop. */
  kill(): void {
    this.#isAlive = false;
    this.#options.links.breakAll(this);
    this.#requesters.forEach((end) => end({ kind: 'lost' }));
  }

  /** Pauses the process; its streams break after 3 s. */
  freeze(): void {
    this.#isFrozen = true;
    this.#options.events.schedule(3_000, () => {
      if (this.#isFrozen) {
        this.#options.links.breakAll(this);
      }
    });
  }

  /** Resumes a paused process, which then handles the messages that arrived during the pause. */
  resume(): void {
    this.#isFrozen = false;
    this.#pausedActions.splice(0).forEach((run) => run());
  }

  /** Receives a request of a caller or, with a call token, of the backend server beside the node. */
  request(
    target: string,
    method: string,
    headers: readonly (readonly [string, string])[],
    callToken: string | undefined,
    end: (end: RequestEnd) => void,
  ): void {
    if (!this.#isAlive) {
      end({ kind: 'lost' });
      return;
    }
    this.#requestCount += 1;
    const requestId = `r${this.#requestCount}`;
    this.#requesters.set(requestId, end);
    const request = {
      requestId,
      method,
      target,
      headers,
      bodySize: 0,
      bodyDigest: '',
      bodyHasKey: false,
      arrivedMs: this.#options.events.nowMs,
    };
    this.receive(
      callToken === undefined
        ? { kind: 'callerRequest', request }
        : { kind: 'egressRequest', request, callToken },
    );
  }

  receive(message: NodeMessage, body?: string): void {
    if (!this.#isAlive) {
      return;
    }
    if (this.#isFrozen) {
      this.#pausedActions.push(() => this.receive(message, body));
      return;
    }
    this.#storeFrameBody(message, body);
    const commands = this.#machine.handle(message, this.#options.events.nowMs);
    this.#options.observe?.(this.#options.events.nowMs, this.name, message, commands);
    commands.forEach((command) => this.#handleCommand(command));
  }

  /** Number of stored bodies. */
  get bodyCount(): number {
    return this.#bodies.size;
  }

  /** Stores the body of an answer of the backend server under its call id, and passes the result to the node. */
  receiveAnswer(
    callId: string,
    status: number,
    body: string,
    framing: AnswerFraming = 'length',
  ): void {
    this.#bodies.set(callId, body);
    const result = {
      kind: 'answered',
      status,
      headers: [],
      bodySize: body.length,
      framing,
      shed: status === 503,
    } as const;
    this.receive({ kind: 'backendResult', callId, result });
  }

  #storeFrameBody(message: NodeMessage, body: string | undefined): void {
    const frame = message.kind === 'peerFrame' ? message.frame.body : undefined;
    if (body !== undefined && (frame?.case === 'answer' || frame?.case === 'openCall')) {
      this.#bodies.set(frame.value.callId, body);
    }
  }

  #handleCommand(command: NodeCommand): void {
    const { links } = this.#options;
    switch (command.kind) {
      case 'sendRequest':
        links.sendRequest(this, command.peer, command.frame, this.#readBody(command.bodyOf));
        break;
      case 'sendReply':
        links.sendReply(this, command.peer, command.frame, this.#readBody(command.bodyOf));
        break;
      case 'callBackend':
        this.backend.run(command);
        break;
      case 'cancelBackend':
        this.backend.cancel(command.callId);
        break;
      case 'answerRequester': {
        const body = this.#readBody(command.bodyOf) ?? '';
        const { status, closeDelimited } = command;
        this.#end(command.requestId, { kind: 'answered', status, body, closeDelimited });
        break;
      }
      case 'refuseRequester': {
        const { reason, outcome } = command.refusal;
        const ticket = command.headers.find(([name]) => name === 'tanagerpond-ticket')?.[1];
        this.#end(command.requestId, { kind: 'refused', reason, outcome, ticket });
        break;
      }
      case 'keepBody':
        this.#bodies.set(command.to, this.#readBody(command.from) ?? '');
        break;
      case 'releaseBody':
        this.#bodies.delete(command.bodyOf);
        break;
      default:
        break;
    }
  }

  #readBody(name: string | undefined): string | undefined {
    if (name === undefined || name === '') {
      return undefined;
    }
    const body = this.#bodies.get(name);
    if (body === undefined) {
      this.faults.push(`${this.name}: body ${name} is not stored`);
    }
    return body;
  }

  #end(requestId: string, end: RequestEnd): void {
    const requester = this.#requesters.get(requestId);
    if (requester === undefined) {
      this.faults.push(`${this.name}: request ${requestId} ended twice`);
      return;
    }
    this.#requesters.delete(requestId);
    requester(end);
  }

  #tick(): void {
    if (!this.#isAlive) {
      return;
    }
    if (!this.#isFrozen) {
      this.receive({ kind: 'tick' });
    }
    this.#options.events.schedule(TICK_MS, () => this.#tick());
  }
}
