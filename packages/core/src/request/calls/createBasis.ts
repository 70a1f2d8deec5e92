import type { DecisionBasis } from '../../process/node/DecisionBasis.js';
import type { RefusalReason } from '../refusals.js';
import type { OutboundCall } from './OutboundCall.js';

/** What a refusal follows from besides the VM of its attempt. */
const BASES: Readonly<Partial<Record<RefusalReason, (call: OutboundCall) => DecisionBasis>>> = {
  keyUnknown: describeConfiguration,
  rateExceeded: (call) => ({ ...describeConfiguration(call), rateOf: call.context.workspace }),
  // The configuration gives the class of the request, and the class decides what is shed first.
  overloaded: describeConfiguration,
  noBackend: () => ({ list: true }),
  incarnationGone: () => ({ list: true }),
  // The configuration gives the timeout of the route.
  deadlinePassedWhileRunning: describeConfiguration,
  deadlineExpired: (call) => ({
    ...describeConfiguration(call),
    ...(call.state === 'waitingForRate' ? { rateOf: call.context.workspace } : {}),
  }),
};

/**
 * Names what decided the end of a call, so that its log line can say how old that was. The VM of an attempt was chosen
 * from the list, and was heard of over its link.
 * @param call - Call that ends.
 * @param self - Name of the own VM, which needs no link.
 * @param reason - Why it is refused; absent for an answer.
 * @param service - Service whose load decided; the route's own where a VM turned the call away.
 */
export function createBasis(
  call: OutboundCall,
  self: string,
  reason?: RefusalReason,
  service: string = call.route.service,
): DecisionBasis {
  const vm = call.attempt?.vm;
  return {
    ...(reason === undefined ? {} : BASES[reason]?.(call)),
    ...(reason === 'overloaded' ? { loadOf: service } : {}),
    ...(vm === undefined ? {} : { list: true }),
    ...(vm === undefined || vm === self ? {} : { linkTo: vm }),
  };
}

function describeConfiguration({ context }: OutboundCall): DecisionBasis {
  return { configuration: context.bundleVersion };
}
