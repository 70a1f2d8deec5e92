import * as z from 'zod';

/** One workspace, section `[workspace NAME]` of `workspaces.ini`. */
export const workspaceSchema = z.strictObject({
  name: z.string().min(1),
  /** Calls a second, summed over all VMs. */
  rate: z.number().positive(),
  /** Calls that may come at once, summed over all VMs. */
  burst: z.number().min(1),
  /** Weight inside a priority class of an admission queue. */
  weight: z.number().positive(),
  /** SHA-256 digests of the keys, in lower-case hexadecimal. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  /** Requests without a key on open routes count for this workspace; at most one workspace has it set. */
  open: z.boolean(),
  /** Rank that goes before the priority of the route, 0 (highest) and up. Absent: the route alone decides. */
  priority: z.int().min(0).optional(),
  /** Requests of the workspace take no rate tokens. */
  unmetered: z.boolean().optional(),
});

export type Workspace = Readonly<z.infer<typeof workspaceSchema>>;
