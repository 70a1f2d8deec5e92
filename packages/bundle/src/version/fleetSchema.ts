import * as z from 'zod';

/** Settings of the whole fleet, section `[fleet]` of `fleet.ini`. Times are in milliseconds. */
export const fleetSchema = z.strictObject({
  /**
   * Most VMs that may be live at once, replacements included (M of the share ledger). Absent: the number of VMs that the
   * list shows, so that two views of the list can overspend by their difference.
   */
  maxVms: z.int().min(1).max(100_000).optional(),
  /** Lease on which an owner lends its share to a holder. */
  shareLeaseMs: z.int().min(200).max(60_000),
  /** Extra attempts that one request may spend over its whole call tree. */
  extraAttempts: z.int().min(0).max(20),
  /** Deepest call chain; a deeper call is refused. */
  maxDepth: z.int().min(1).max(64),
  /** Life of a ticket and of its record. */
  ticketLifeMs: z.int().min(1_000).max(3_600_000),
  /** Deadline of a request whose caller names none, and the longest a caller may ask for. */
  defaultDeadlineMs: z.int().min(10).max(600_000),
  maxDeadlineMs: z.int().min(10).max(600_000),
  /** Time for which a request that crashed two backend servers stays refused. */
  poisonBlockMs: z.int().min(1_000).max(86_400_000),
});

export type Fleet = Readonly<z.infer<typeof fleetSchema>>;
