import { caller } from '@tanagerpond/testkit';
import type { Fleet } from '../fleet/index.js';
import { buildCallerRoute } from '../run/index.js';
import { findLongestChain } from './findLongestChain.js';

/** Requests a second of each workspace's mixed load, below what the smallest example workspace may send. */
const MIXED_RATE = 10;

/** Requests a second through the longest chain. */
const CHAIN_RATE = 20;

const LARGEST_BODY_BYTES = 64;

/**
 * Builds the loads of the demo: every workspace sends a mix of all routes, and the first one uses the longest chain.
 * @param fleet - Fleet that serves.
 * @param seed - Seed of the arrivals.
 * @param durationMs - Time for which load is sent.
 */
export function buildDemoLoads(
  fleet: Fleet,
  seed: number,
  durationMs: number,
): readonly caller.CallerLoad[] {
  const { bundle } = fleet.deployment;
  const { routes: chain } = findLongestChain(bundle);
  const routes = [...bundle.routes.values()];
  const openRoutes = routes.filter((route) => route.open).map((route) => route.name);
  const keyRoutes = routes.filter((route) => !route.open).map((route) => route.name);
  const plans = [...bundle.workspaces.keys()].map((workspace) => {
    const hasKey = fleet.deployment.findKey(workspace) !== undefined;
    return { workspace, rate: MIXED_RATE, routes: hasKey ? keyRoutes : openRoutes };
  });
  const first = plans.find((plan) => fleet.deployment.findKey(plan.workspace) !== undefined);
  const chainPlan = {
    workspace: first?.workspace ?? '',
    rate: CHAIN_RATE,
    routes: chain.slice(0, 1),
  };
  return [...plans, chainPlan].map(
    (plan, index) =>
      new caller.CallerLoad(
        caller.callerOptionsSchema.parse({
          name: `${plan.workspace}-${index}`,
          seed: seed + index,
          workspace: plan.workspace,
          key: fleet.deployment.findKey(plan.workspace),
          entries: fleet.listEntries(),
          routes: plan.routes.map((name) => buildCallerRoute(fleet.deployment, name)),
          ratePerSecond: plan.rate,
          durationMs,
          bodyBytes: LARGEST_BODY_BYTES,
        }),
      ),
  );
}
