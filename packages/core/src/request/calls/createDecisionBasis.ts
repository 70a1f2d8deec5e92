import type { DecisionBasis } from '../../process/node/DecisionBasis.js';
import type { RefusalReason } from '../refusals.js';
import type { OutboundCall } from './OutboundCall.js';

/** Data that each refusal reason is decided from, besides the VM of the attempt. */
const BASIS_BY_REASON: Readonly<
  Partial<Record<RefusalReason, (call: OutboundCall) => DecisionBasis>>
> = {
  keyUnknown: describeConfiguration,
  rateExceeded: (call) => ({
    ...describeConfiguration(call),
    rateWorkspace: call.context.workspace,
  }),
  // The configuration sets the priority class of the request, which decides what is shed first.
  overloaded: describeConfiguration,
  noBackend: () => ({ usesVmList: true }),
  incarnationGone: () => ({ usesVmList: true }),
  // The configuration sets the time-out of the route.
  deadlinePassedWhileRunning: describeConfiguration,
  deadlineExpired: (call) => ({
    ...describeConfiguration(call),
    ...(call.state === 'waitingForRate' ? { rateWorkspace: call.context.workspace } : {}),
  }),
};

/**
 * Lists the data that decided how a call ended, so that its log line can report how old that data was. Every attempt
 * depends on the list of VMs, from which its VM was chosen, and on the link to that VM.
 * @param call - Call that is answered or refused.
 * @param self - Name of the own VM, which is reached without a link.
 * @param reason - Reason of the refusal; absent for an answer.
 * @param service - Service whose load caused an `overloaded` refusal; by default the service of the route, for refusals
 * by its VM.
 */
export function createDecisionBasis(
  call: OutboundCall,
  self: string,
  reason?: RefusalReason,
  service: string = call.route.service,
): DecisionBasis {
  const vm = call.attempt?.vm;
  return {
    ...(reason === undefined ? {} : BASIS_BY_REASON[reason]?.(call)),
    ...(reason === 'overloaded' ? { loadService: service } : {}),
    ...(vm === undefined ? {} : { usesVmList: true }),
    ...(vm === undefined || vm === self ? {} : { linkVm: vm }),
  };
}

function describeConfiguration({ context }: OutboundCall): DecisionBasis {
  return { configuration: context.bundleVersion };
}
