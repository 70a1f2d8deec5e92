import type { NodeServices } from './NodeServices.js';

/**
 * Returns the state of the decision modules for the state dump; bounded in size and without keys, tickets and bodies.
 * @param services - Decision modules of one process.
 * @param nowMs - Monotonic time, in milliseconds.
 */
export function snapshotServices(services: NodeServices, nowMs: number): object {
  return {
    self: services.self,
    membership: services.membership.snapshot(nowMs),
    router: services.router.snapshot(nowMs),
    retryRatio: services.retryRatio.snapshot(nowMs),
    admission: services.admission.snapshot(nowMs),
    pressure: services.pressure.snapshot(nowMs),
    shares: services.shares.snapshot(nowMs),
    suspects: services.suspects.snapshot(nowMs),
    once: services.once.snapshot(),
    counters: services.counters.read(),
  };
}
