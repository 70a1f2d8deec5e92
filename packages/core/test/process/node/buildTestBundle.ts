import { buildBundle, digestKey, type Bundle } from '@tanagerpond/bundle';

/** API key of the workspace `alba`. */
export const ALBA_KEY = `tpk_${'a'.repeat(43)}`;

const FLEET = `[fleet]
max-vms = 4
share-lease = 300ms
extra-attempts = 2
max-depth = 4
ticket-life = 60s
default-deadline = 4s
max-deadline = 10s
poison-block = 60s
`;

const SERVICES = `[service front]
slots = 8
connections = 50
queue = 20

[service deep]
slots = 8
connections = 50
queue = 20
`;

const ROUTES = `[route front.read]
method = GET
path = /read/:id
priority = 2
repeatable = yes
max-body = 1KiB
max-answer = 1KiB

[route front.slow]
method = GET
path = /slow/:id
priority = 3
repeatable = yes
max-body = 1KiB
max-answer = 1KiB

[route front.poison]
method = GET
path = /poison/:id
priority = 2
repeatable = yes
max-body = 1KiB
max-answer = 1KiB

[route front.read-deep]
method = GET
path = /child/:id
priority = 2
repeatable = yes
calls = deep.read
max-body = 1KiB
max-answer = 1KiB

[route front.book]
method = POST
path = /book/:id
priority = 0
repeatable = no
max-body = 1KiB
max-answer = 1KiB

[route front.book-deep]
method = POST
path = /child/:id
priority = 0
repeatable = no
calls = deep.book
max-body = 1KiB
max-answer = 1KiB

[route deep.read]
method = GET
path = /:id
priority = 2
repeatable = yes
max-body = 1KiB
max-answer = 1KiB

[route deep.book]
method = POST
path = /:id
priority = 0
repeatable = no
max-body = 1KiB
max-answer = 1KiB
`;

/**
 * Builds the bundle for sessions of simulated nodes.
 * @param rate - Rate of the only workspace in calls per second, and its burst in calls.
 * @param version - Version of the bundle.
 * @param keys - Valid API keys of the workspace.
 */
export function buildTestBundle(
  rate = 10_000,
  version = 1,
  keys: readonly string[] = [ALBA_KEY],
): Bundle {
  const digests = keys.map((key) => digestKey(key)).join(', ');
  const workspaces = `[workspace alba]
rate = ${rate}
burst = ${rate}
weight = 1
key-digests = ${digests}
`;
  return buildBundle(version, `digest-${version}`, {
    'fleet.ini': FLEET,
    'workspaces.ini': workspaces,
    'services.ini': SERVICES,
    'routes.ini': ROUTES,
  }).unwrapOrElse((error) => {
    throw new Error(JSON.stringify(error));
  });
}
