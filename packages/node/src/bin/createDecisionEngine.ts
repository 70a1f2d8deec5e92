import { node, suspects } from '@tanagerpond/core';
import type { NodeProcessOptions } from '../process/host/index.js';
import type { Settings } from '../process/settings/index.js';

const SUSPECT_POLICIES = {
  isolate: suspects.ISOLATING_POLICY,
  count: suspects.COUNTING_POLICY,
} as const;

/**
 * Creates the decision engine of a node from its settings.
 * @param settings - Valid settings.
 * @param start - Identity of the process, its start time and its seeds.
 */
export function createDecisionEngine(
  settings: Settings,
  start: Parameters<NodeProcessOptions['createDecisions']>[0],
): node.NodeStateMachine {
  const { trust, drain, admission } = settings;
  return new node.NodeStateMachine({
    ...start,
    random: { next: () => Math.random() },
    trustedKeys: trust.signingKeys,
    unsignedBundles: trust.unsigned,
    drainLimitMs: drain.limitMs,
    suspects: SUSPECT_POLICIES[settings.suspects.policy],
    overload: admission.overload,
    rates: settings.rates,
    admission: {
      limit: admission.limit,
      order: admission.order,
      isPreemptionEnabled: admission.preemption,
    },
  });
}
