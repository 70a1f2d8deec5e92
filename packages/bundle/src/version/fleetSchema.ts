import * as z from 'zod';

/** Schema of the fleet-wide settings, section `[fleet]` of `fleet.ini`. Times are in milliseconds. */
export const fleetSchema = z.strictObject({
  /**
   * Maximum number of VMs that are live at the same time, replacements included. Each node owns a share of 1/`maxVms`
   * of every rate. When absent, each node divides by the number of VMs in its own list, and nodes whose lists differ
   * can together exceed a rate by that difference.
   */
  maxVms: z.int().min(1).max(100_000).optional(),
  /** Duration of the lease under which a node lends its own share of the rates to another node (the holder). */
  shareLeaseMs: z.int().min(200).max(60_000),
  /** Retry budget of one request: extra attempts allowed in its whole call tree. */
  extraAttempts: z.int().min(0).max(20),
  /** Maximum depth of a call chain; deeper calls are refused. */
  maxDepth: z.int().min(1).max(64),
  /** Validity of a ticket and retention of its record. */
  ticketLifeMs: z.int().min(1_000).max(3_600_000),
  /** Time until the deadline of a request whose caller sets none. */
  defaultDeadlineMs: z.int().min(10).max(600_000),
  /** Maximum time until the deadline that a caller may set. */
  maxDeadlineMs: z.int().min(10).max(600_000),
  /** Time for which requests with the fingerprint of one that crashed two backend servers are refused. */
  poisonBlockMs: z.int().min(1_000).max(86_400_000),
});

export type Fleet = Readonly<z.infer<typeof fleetSchema>>;
