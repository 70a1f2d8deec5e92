import type { Frame } from '@tanagerpond/wire';
import type { NodeCommand, NodeMessage } from '../../../src/process/node/index.js';

/** Frames that golden files leave out because they repeat on every tick. */
const OMITTED_FRAMES: ReadonlySet<string | undefined> = new Set([
  'shareRequest',
  'shareGrant',
  'shareReturn',
  'manifestRequest',
  'manifestAnnouncement',
]);

/** Messages that golden files leave out unless they result in commands. */
const OMITTED_MESSAGES: ReadonlySet<string> = new Set(['tick', 'vmsListed', 'bundleAdopted']);

/** Describes one handled message and its commands as lines of a golden file. Times are in milliseconds. */
export function describeStep(
  nowMs: number,
  vm: string,
  message: NodeMessage,
  commands: readonly NodeCommand[],
): string[] {
  const shown = commands.map((command) => describeCommand(command)).filter((text) => text !== '');
  const isOmitted =
    OMITTED_MESSAGES.has(message.kind) ||
    (message.kind === 'peerFrame' && OMITTED_FRAMES.has(message.frame.body.case));
  if (isOmitted && shown.length === 0) {
    return [];
  }
  const head = `${nowMs.toFixed(1).padStart(9)} ${vm} < ${describeMessage(message)}`;
  return [head, ...shown.map((text) => `${' '.repeat(9)} ${vm} >   ${text}`)];
}

function describeMessage(message: NodeMessage): string {
  switch (message.kind) {
    case 'callerRequest':
    case 'egressRequest':
      return `${message.kind} ${message.request.requestId} ${message.request.method} ${message.request.target}`;
    case 'peerFrame':
      return `from ${message.peer} ${describeFrame(message.frame)}`;
    case 'linkUp':
    case 'linkDown':
      return `${message.kind} ${message.peer} ${message.inbound ? 'inbound' : 'outbound'}`;
    case 'backendResult':
      return `backendResult ${message.callId} ${message.result.kind}`;
    case 'backendHealth':
      return `backendHealth ${message.state}`;
    case 'linkFailed':
      return `linkFailed ${message.peer}`;
    case 'requesterGone':
      return `requesterGone ${message.requestId}`;
    default:
      return message.kind;
  }
}

function describeCommand(command: NodeCommand): string {
  switch (command.kind) {
    case 'sendRequest':
    case 'sendReply':
      return OMITTED_FRAMES.has(command.frame.body.case)
        ? ''
        : `${command.kind} ${command.peer} ${describeFrame(command.frame)}`;
    case 'answerRequester':
      return `answerRequester ${command.requestId} ${command.status}`;
    case 'refuseRequester': {
      const { reason, outcome } = command.refusal;
      return `refuseRequester ${command.requestId} ${reason} ${outcome}`;
    }
    case 'callBackend':
      return `callBackend ${command.callId} ${command.method} ${command.target}`;
    case 'cancelBackend':
      return `cancelBackend ${command.callId}`;
    case 'drained':
      return 'drained';
    default:
      return '';
  }
}

function describeFrame(frame: Frame): string {
  const { body } = frame;
  switch (body.case) {
    case 'openCall':
      return `openCall ${body.value.callId} ${body.value.context?.route} allowance ${body.value.context?.allowance}`;
    case 'cancelCall':
      return `cancelCall ${body.value.callId}`;
    case 'answer':
      return `answer ${body.value.callId} ${body.value.status}${body.value.replayed ? ' replayed' : ''}`;
    case 'refused':
      return `refused ${body.value.callId} ${body.value.reason}`;
    case 'ticketRequest':
    case 'ticketGrant':
      return `${body.case} ${body.value.requestId}`;
    default:
      return String(body.case);
  }
}
