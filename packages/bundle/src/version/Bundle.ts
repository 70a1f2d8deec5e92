import type { HostRouteTable } from '../request/HostRouteTable.js';
import type { Fleet } from './fleetSchema.js';
import type { Route } from './routeSchema.js';
import type { Service } from './serviceSchema.js';
import type { Workspace } from './workspaceSchema.js';

/** A validated configuration bundle in the form that admission and routing use. Immutable. */
export interface Bundle {
  /** Version number of the manifest; each published bundle has a higher one. */
  readonly version: number;
  /** SHA-256 digest of the manifest, in lower-case hexadecimal. */
  readonly digest: string;
  readonly fleet: Fleet;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Workspace name by the digest of a caller key (lower-case hexadecimal). */
  readonly workspaceByKeyDigest: ReadonlyMap<string, string>;
  /** Digests of caller keys of workspaces that this version cannot read; their requests are refused. */
  readonly unsupportedKeyDigests?: ReadonlySet<string>;
  /** Name of the workspace to which requests without a key on open routes are attributed. */
  readonly openWorkspace: string | undefined;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: ReadonlyMap<string, Route>;
  /** Selects routes by host and path prefix. When absent, the first path segment names the service. */
  readonly hostRoutes?: HostRouteTable;
}
