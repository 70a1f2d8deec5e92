import { request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import type { Decisions } from './Decisions.js';

/** Decisions of a node that never becomes ready: every request is refused as not run. */
export class StartingDecisions implements Decisions {
  #refused = 0;

  handle(message: node.NodeMessage): readonly node.NodeCommand[] {
    if (message.kind === 'drainRequested') {
      return [{ kind: 'drained' }];
    }
    if (message.kind !== 'callerRequest' && message.kind !== 'egressRequest') {
      return [];
    }
    this.#refused += 1;
    const { requestId } = message.request;
    const refusal = request.createRefusal('starting', { retryAfterMs: 1_000 });
    return [
      { kind: 'releaseBody', bodyOf: requestId },
      { kind: 'refuseRequester', requestId, refusal, headers: [] },
    ];
  }

  snapshot(): object {
    return { state: 'starting', refused: this.#refused };
  }

  readCounters(): Readonly<Record<string, number>> {
    return { refused: this.#refused };
  }
}
