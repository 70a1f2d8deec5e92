import * as z from 'zod';

/** Schema of a workspace, section `[workspace NAME]` of `workspaces.ini`. */
export const workspaceSchema = z.strictObject({
  name: z.string().min(1),
  /** Quota in calls per second, for all VMs together. */
  rate: z.number().positive(),
  /** Capacity of the token bucket in calls, for all VMs together. */
  burst: z.number().min(1),
  /** Weight of the workspace within a priority class of an admission queue. */
  weight: z.number().positive(),
  /** SHA-256 digests of the caller keys, in lower-case hexadecimal. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  /** Whether requests without a key on open routes are attributed to this workspace; set for at most one workspace. */
  open: z.boolean(),
  /**
   * Rank that takes precedence over the priority class of the route; 0 is the highest. When absent, only the route
   * counts.
   */
  priority: z.int().min(0).optional(),
  /** Whether requests of the workspace bypass the quota and take no rate tokens. */
  unmetered: z.boolean().optional(),
});

export type Workspace = Readonly<z.infer<typeof workspaceSchema>>;
