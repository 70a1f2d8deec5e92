import type { Bundle, Workspace } from '@tanagerpond/bundle';

export interface TestRate {
  readonly name: string;
  readonly rate: number;
  readonly burst: number;
}

/** Creates a bundle with only the parts that the rate limiter reads. */
export function createBundle(
  rates: readonly TestRate[],
  fleet: { maxVms?: number; shareLeaseMs: number; version?: number },
): Bundle {
  const workspaces = new Map<string, Workspace>(
    rates.map((rate) => [rate.name, { ...rate, weight: 1, keyDigests: [], open: false }]),
  );
  return {
    version: fleet.version ?? 1,
    digest: '0'.repeat(64),
    fleet: {
      ...(fleet.maxVms === undefined ? {} : { maxVms: fleet.maxVms }),
      shareLeaseMs: fleet.shareLeaseMs,
      extraAttempts: 3,
      maxDepth: 16,
      ticketLifeMs: 60_000,
      defaultDeadlineMs: 5_000,
      maxDeadlineMs: 60_000,
      poisonBlockMs: 600_000,
    },
    workspaces,
    workspaceByKeyDigest: new Map(),
    openWorkspace: undefined,
    services: new Map(),
    routes: new Map(),
  };
}
