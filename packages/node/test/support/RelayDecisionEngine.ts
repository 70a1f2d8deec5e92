import { request } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';
import { Outcome } from '@tanagerpond/wire';
import { buildFrame } from '../../src/connection/index.js';
import type { DecisionEngine } from '../../src/index.js';

/** Deadline of every call, in milliseconds. */
const TIMEOUT_MS = 5_000;

const MAX_ANSWER = 32 * 1024 * 1024;

/**
 * Decision engine without any policy: sends a caller's request to the peer named in the header `to-vm`, and that peer
 * calls its backend server. Records every message except ticks.
 */
export class RelayDecisionEngine implements DecisionEngine {
  readonly messages: node.NodeMessage[] = [];

  handle(message: node.NodeMessage): readonly node.NodeCommand[] {
    if (message.kind !== 'tick') {
      this.messages.push(message);
    }
    switch (message.kind) {
      case 'callerRequest':
      case 'egressRequest':
        return openCall(message.request);
      case 'peerFrame':
        return message.inbound ? runCall(message) : answer(message);
      case 'backendResult':
        return reply(message);
      case 'drainRequested':
        return [{ kind: 'drained' }];
      default:
        return [];
    }
  }

  isServing(): boolean {
    return this.messages.length > 0;
  }

  snapshot(): object {
    return { messages: this.messages.length };
  }

  measureAges(): Readonly<Record<string, number>> {
    return { messages: this.messages.length };
  }

  readCounters(): Readonly<Record<string, number>> {
    return { messages: this.messages.length };
  }

  /** Lists the recorded messages of one kind. */
  find<K extends node.NodeMessage['kind']>(
    kind: K,
  ): readonly Extract<node.NodeMessage, { kind: K }>[] {
    return this.messages.filter(
      (message): message is Extract<node.NodeMessage, { kind: K }> => message.kind === kind,
    );
  }
}

function openCall(arrived: node.ReceivedRequest): readonly node.NodeCommand[] {
  const peer = arrived.headers.find(([name]) => name === 'to-vm')?.[1] ?? '';
  const { requestId, method, target, bodySize } = arrived;
  const headers = arrived.headers.map(([name, value]) => ({ name, value }));
  const frame = buildFrame({
    case: 'openCall',
    value: { callId: `call-${requestId}`, method, target, headers, bodySize },
  });
  return [
    { kind: 'sendRequest', peer, frame, ...(bodySize > 0 ? { bodyOf: requestId } : {}) },
    { kind: 'releaseBody', bodyOf: requestId },
  ];
}

function runCall({
  peer,
  frame,
}: Extract<node.NodeMessage, { kind: 'peerFrame' }>): readonly node.NodeCommand[] {
  if (frame.body.case !== 'openCall') {
    return [];
  }
  const { callId, method, target, headers, bodySize } = frame.body.value;
  return [
    {
      kind: 'callBackend',
      callId: `${peer}/${callId}`,
      method,
      target,
      headers: headers.map(({ name, value }): node.HeaderPair => [name, value]),
      bodyOf: bodySize > 0 ? callId : '',
      timeoutMs: TIMEOUT_MS,
      maxAnswer: MAX_ANSWER,
    },
    { kind: 'releaseBody', bodyOf: callId },
  ];
}

function reply({
  callId: name,
  result,
}: Extract<node.NodeMessage, { kind: 'backendResult' }>): readonly node.NodeCommand[] {
  const [peer, callId] = name.split('/');
  if (result.kind !== 'answered') {
    const outcome = result.kind === 'notSent' ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    const value = { callId, reason: 'backendFailed', outcome };
    return [{ kind: 'sendReply', peer, frame: buildFrame({ case: 'refused', value }) }];
  }
  const headers = result.headers.map(([header, value]) => ({ name: header, value }));
  const { status, bodySize } = result;
  const frame = buildFrame({ case: 'answer', value: { callId, status, headers, bodySize } });
  return [
    { kind: 'sendReply', peer, frame, bodyOf: name },
    { kind: 'releaseBody', bodyOf: name },
  ];
}

function answer({
  frame,
}: Extract<node.NodeMessage, { kind: 'peerFrame' }>): readonly node.NodeCommand[] {
  if (frame.body.case === 'refused') {
    const { callId, outcome } = frame.body.value;
    const refusal = request.createRefusal('backendFailed', {
      outcome: outcome === Outcome.NOT_RUN ? 'notRun' : 'unknown',
      retryAfterMs: 1_001,
    });
    const requestId = callId.slice('call-'.length);
    return [{ kind: 'refuseRequester', requestId, refusal, headers: [] }];
  }
  if (frame.body.case !== 'answer') {
    return [];
  }
  const { callId, status, headers, bodySize, closeDelimited } = frame.body.value;
  return [
    {
      kind: 'answerRequester',
      requestId: callId.slice('call-'.length),
      status,
      headers: headers.map(({ name, value }): node.HeaderPair => [name, value]),
      bodyOf: bodySize > 0 ? callId : '',
      closeDelimited,
    },
    { kind: 'releaseBody', bodyOf: callId },
  ];
}
