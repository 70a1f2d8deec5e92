import { caller } from '@tanagerpond/testkit';
import type { Fleet } from '../fleet/index.js';
import { buildCallerRoute } from '../run/index.js';
import { findLongestChain } from './findLongestChain.js';

/** Requests per second in the mixed load of each workspace, below the smallest rate limit in the examples. */
const MIXED_RATE = 10;

/** Requests per second through the longest chain of calls. */
const CHAIN_RATE = 20;

const LARGEST_BODY_BYTES = 64;

/**
 * Builds the loads of the demo. Each workspace with a key sends requests to all routes that need a key, and the one
 * without a key to the open routes. The first workspace with a key also sends requests through the longest chain.
 * @param fleet - Fleet that receives the requests.
 * @param seed - Seed of the arrivals.
 * @param durationMs - Time for which the loads are sent, in milliseconds.
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
