import type { HostRouteTable } from '../request/HostRouteTable.js';
import type { Fleet } from './fleetSchema.js';
import type { Route } from './routeSchema.js';
import type { Service } from './serviceSchema.js';
import type { Workspace } from './workspaceSchema.js';

/** A verified bundle, ready for use by the decisions. Immutable. */
export interface Bundle {
  /** Version of the manifest; versions only increase. */
  readonly version: number;
  /** SHA-256 of the manifest, in lower-case hexadecimal. */
  readonly digest: string;
  readonly fleet: Fleet;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Workspace name by key digest (lower-case hexadecimal). */
  readonly workspaceByKeyDigest: ReadonlyMap<string, string>;
  /** Workspace of requests without a key on open routes. */
  readonly openWorkspace: string | undefined;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: ReadonlyMap<string, Route>;
  /** Selects routes by host and path prefix; without it, the first path segment names the service. */
  readonly hostRoutes?: HostRouteTable;
}
