import { digestKey, type Bundle, type Route } from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import { createRefusal, type Refusal } from '../refusals.js';
import { readHeader } from './readHeader.js';

const BEARER = /^bearer +(\S+) *$/i;

/** The workspace that a request runs for. */
export interface Identity {
  readonly workspace: string;
  /** Digest of the API key of the request; absent for requests without a key on open routes. */
  readonly keyDigest?: string;
}

/**
 * Finds the workspace of a request by the API key in its `authorization` header. A request on an open route needs no key:
 * without one, or with one that no workspace has any more, it belongs to the open workspace of the bundle.
 * @param bundle - Active bundle.
 * @param headers - Headers with lower-case names.
 * @param route - Route of the request.
 * @returns The identity, or the refusal `headerMalformed`, `keyMissing`, `keyUnknown` or
 * `configurationUnsupported`.
 */
export function identifyWorkspace(
  bundle: Bundle,
  headers: readonly HeaderPair[],
  route: Route,
): Result<Identity, Refusal> {
  const header = readHeader(headers, 'authorization');
  if (header.kind === 'repeated') {
    return Result.err(createRefusal('headerMalformed', { detail: 'authorization' }));
  }
  if (header.kind === 'absent') {
    return identifyOpen(bundle, route);
  }
  const key = BEARER.exec(header.value)?.[1];
  if (key === undefined) {
    return Result.err(createRefusal('headerMalformed', { detail: 'authorization' }));
  }
  const keyDigest = digestKey(key);
  const workspace = bundle.workspaceByKeyDigest.get(keyDigest);
  if (workspace !== undefined) {
    return Result.ok({ workspace, keyDigest });
  }
  return identifyOpen(bundle, route).orElse(() => Result.err(refuseKey(bundle, keyDigest)));
}

function refuseKey({ unsupportedKeyDigests }: Bundle, keyDigest: string): Refusal {
  return unsupportedKeyDigests?.has(keyDigest) === true
    ? createRefusal('configurationUnsupported', { detail: 'workspace' })
    : createRefusal('keyUnknown');
}

function identifyOpen(bundle: Bundle, route: Route): Result<Identity, Refusal> {
  if (!route.open || bundle.openWorkspace === undefined) {
    return Result.err(createRefusal('keyMissing', { detail: 'authorization' }));
  }
  return Result.ok({ workspace: bundle.openWorkspace });
}
