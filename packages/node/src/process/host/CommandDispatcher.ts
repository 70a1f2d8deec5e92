import { request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import type { Frame } from '@tanagerpond/wire';
import { Outcome } from '@tanagerpond/wire';
import { buildFrame, shortenDeadline } from '../../connection/index.js';
import type { PeerLinks } from '../../connection/index.js';
import type { RequestListener } from '../../request/index.js';
import type { BackendPool } from '../backend/index.js';
import type { BodyStore, BodyReference } from '../bodies/index.js';
import type { Log, LogFields } from '../log/index.js';
import type { Counters } from '../metrics/index.js';
import type { ConfigurationSource } from '../../ports/index.js';
import type { CancellableStarts } from '../scheduling/index.js';

/** Parts of the process that the dispatcher calls to execute commands. */
export interface CommandTargets {
  readonly listeners: readonly RequestListener[];
  readonly links: PeerLinks;
  readonly backend: BackendPool;
  readonly source: ConfigurationSource;
  readonly starts: CancellableStarts;
  readonly store: BodyStore;
  readonly counters: Counters;
  readonly log: Log;
  readonly publish: (message: node.NodeMessage) => void;
  readonly finishDrain: () => void;
  /** Returns the ages, in milliseconds, of the information that a decision was based on. */
  readonly measureAges: (basis: node.DecisionBasis) => LogFields;
}

type Command<K extends node.NodeCommand['kind']> = Extract<node.NodeCommand, { kind: K }>;

type Handlers = {
  readonly [K in node.NodeCommand['kind']]: (command: Command<K>) => void;
};

/** Executes the commands that the decision engine returns. */
export class CommandDispatcher {
  readonly #targets: CommandTargets;

  readonly #handlers: Handlers;

  /** @param targets - Parts of the process that the commands act on. */
  constructor(targets: CommandTargets) {
    const { source, store, starts } = targets;
    this.#targets = targets;
    this.#handlers = {
      answerRequester: (command) => this.#answer(command),
      refuseRequester: ({ requestId, refusal, headers }) =>
        this.#refuse(requestId, refusal, headers),
      sendRequest: (command) => this.#beginSend(command),
      sendReply: (command) => this.#sendReply(command),
      callBackend: (command) => starts.start(command.callId, () => this.#callBackend(command)),
      cancelBackend: ({ callId }) => this.#cancelBackend(callId),
      releaseBody: ({ bodyOf }) => store.release(bodyOf),
      keepBody: ({ from, to }) => this.#checkStored(store.addAlias(from, to), 'keepBody'),
      readService: () => source.readConfiguration(),
      watchService: ({ enabled, meanWaitMs }) => source.setWatch(enabled, meanWaitMs),
      renewWatch: () => source.renewWatch(),
      documentReceived: ({ update }) => source.acceptDocument(update),
      drained: () => targets.finishDrain(),
      log: (command) => this.#log(command),
    };
  }

  /**
   * Executes one command.
   * @param command - Command of the decision engine.
   */
  dispatch(command: node.NodeCommand): void {
    (this.#handlers[command.kind] as (one: node.NodeCommand) => void)(command);
  }

  #answer({ requestId, bodyOf, ...answer }: Command<'answerRequester'>): void {
    const body = this.#targets.store.takeReference(bodyOf);
    if (body === undefined) {
      this.#checkStored(false, 'answerRequester');
      this.#refuse(requestId, request.createRefusal('backendFailed'), []);
      return;
    }
    const answered = this.#targets.listeners.some((listener) =>
      listener.answer(requestId, answer, body),
    );
    if (!answered) {
      body.release();
    }
  }

  #refuse(requestId: string, refusal: request.Refusal, headers: readonly node.HeaderPair[]): void {
    this.#targets.listeners.some((listener) => listener.refuse(requestId, refusal, headers));
  }

  /** Sends a frame; the start of an attempt waits for its turn, and its cancellation may come before that. */
  #beginSend(command: Command<'sendRequest'>): void {
    const { peer, frame } = command;
    const { case: kind, value } = frame.body;
    if (kind === 'openCall') {
      this.#targets.starts.start(
        value.callId,
        (waitedMs) => {
          shortenDeadline(frame, waitedMs);
          this.#sendRequest(command);
        },
        peer,
      );
    } else if (kind !== 'cancelCall' || !this.#targets.starts.cancel(value.callId)) {
      this.#sendRequest(command);
    }
  }

  #sendRequest({ peer, frame, bodyOf }: Command<'sendRequest'>): void {
    const taken = this.#takeBody(frame, bodyOf);
    if (taken.found) {
      this.#targets.links.sendRequest(peer, frame, taken.body);
    }
  }

  #sendReply({ peer, frame, bodyOf }: Command<'sendReply'>): void {
    const taken = this.#takeBody(frame, bodyOf);
    if (taken.found) {
      this.#targets.links.sendReply(peer, frame, taken.body);
    } else if (frame.body.case === 'answer') {
      const { callId } = frame.body.value;
      const value = { callId, reason: 'backendFailed', outcome: Outcome.UNKNOWN };
      this.#targets.links.sendReply(peer, buildFrame({ case: 'refused', value }));
    }
  }

  #callBackend(command: Command<'callBackend'>): void {
    const body = this.#targets.store.takeReference(command.bodyOf);
    if (body === undefined) {
      this.#checkStored(false, 'callBackend');
      const { callId } = command;
      this.#targets.publish({ kind: 'backendResult', callId, result: { kind: 'notSent' } });
      return;
    }
    this.#targets.backend.call(command, body);
  }

  #cancelBackend(callId: string): void {
    const { starts, backend, publish } = this.#targets;
    if (starts.cancel(callId)) {
      publish({ kind: 'backendResult', callId, result: { kind: 'cancelled' } });
      return;
    }
    backend.cancel(callId);
  }

  /** Writes a log line. Ages are computed only for lines that are written: under overload most are dropped. */
  #log({ level, part, text, fields, basis }: Command<'log'>): void {
    const { log } = this.#targets;
    if (basis === undefined) {
      log.write(level, part, text, fields);
      return;
    }
    log.write(level, part, text, () => ({ ...fields, ...this.#measureAges(basis) }));
  }

  #measureAges(basis: node.DecisionBasis): LogFields {
    const { links, measureAges } = this.#targets;
    const linkAgeMs = basis.linkVm === undefined ? undefined : links.measureLinkAge(basis.linkVm);
    return {
      ...measureAges(basis),
      ...(linkAgeMs === undefined ? {} : { linkAgeMs: Math.round(linkAgeMs) }),
    };
  }

  /**
   * Takes a reference to the body that a frame announces. `found` is false when the body is missing or differs in size
   * from the frame; such a frame must not be sent.
   */
  #takeBody(
    frame: Frame,
    bodyOf: string | undefined,
  ): { readonly found: boolean; readonly body?: BodyReference } {
    const { case: kind, value } = frame.body;
    const size = kind === 'openCall' || kind === 'answer' ? value.bodySize : 0;
    if (size === 0) {
      return { found: true };
    }
    const body = bodyOf === undefined ? undefined : this.#targets.store.takeReference(bodyOf);
    if (body !== undefined && body.bytes.length === size) {
      return { found: true, body };
    }
    body?.release();
    this.#checkStored(false, String(kind));
    return { found: false };
  }

  /** Counts and logs a command whose body is not in the store. */
  #checkStored(isStored: boolean, command: string): void {
    if (!isStored) {
      this.#targets.counters.count('body_missing');
      this.#targets.log.write('error', 'decisions', 'command refers to a missing body', {
        command,
      });
    }
  }
}
