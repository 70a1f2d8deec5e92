import * as bundle from '@tanagerpond/bundle';
import { caller } from '@tanagerpond/testkit';
import { match, P } from 'ts-pattern';
import { buildTarget, type Deployment, type Fleet } from '../fleet/index.js';
import type { Action, KeyPlace, LoadOption, OfKind } from '../language/index.js';
import type { ScenarioState } from './ScenarioState.js';

type LoadAction = OfKind<Action, 'load'>;

type Change = Partial<caller.CallerOptions>;

/** Where an exposed key goes; the whole text is percent-decoded by the node in the last case. */
const EXPOSURES: Readonly<Record<KeyPlace, (key: string) => Change>> = {
  header: (key) => ({ headers: { 'x-note': `key ${key}` } }),
  query: (key) => ({ query: `?note=${key}` }),
  'encoded query': (key) => ({ query: `?note=${key.replace('tpk_', 'tpk%5F')}` }),
  body: (key) => ({ bodyText: `my key is ${key}` }),
};

/**
 * Starts a load in the background.
 * @param state - State of the run; the load is added to it.
 * @param action - Statement.
 */
export function startLoad(state: ScenarioState, action: LoadAction): void {
  const { deployment } = state.fleet;
  const key = deployment.findKey(action.workspace);
  if (!deployment.bundle.workspaces.has(action.workspace)) {
    throw new Error(`there is no workspace ${action.workspace}`);
  }
  const changes = action.options.map((option) => buildChange(state.fleet, key ?? '', option));
  const options = caller.callerOptionsSchema.parse({
    name: action.name,
    seed: state.seed + state.loads.size,
    workspace: action.workspace,
    key,
    entries: state.fleet.listEntries(),
    routes: action.routes.map((name) => buildCallerRoute(deployment, name)),
    ratePerSecond: action.ratePerSecond,
    durationMs: action.durationMs,
    ...Object.assign({}, ...changes),
  });
  const load = new caller.CallerLoad(options);
  state.loads.set(action.name, load);
  state.runningLoads.set(action.name, load.run());
}

/**
 * Builds a route as callers use it.
 * @param deployment - Bundle of the run.
 * @param name - Name of the route.
 * @throws Error when the bundle has no such route.
 */
export function buildCallerRoute(deployment: Deployment, name: string): caller.CallerRoute {
  const route = deployment.bundle.routes.get(name);
  if (route === undefined) {
    throw new Error(`there is no route ${name}`);
  }
  const { method, target } = buildTarget(route);
  return { name, method, target, repeatable: route.repeatable };
}

function buildChange(fleet: Fleet, key: string, option: LoadOption): Change {
  return match(option)
    .returnType<Change>()
    .with({ kind: 'retrying' }, ({ times }) => ({ retries: times }))
    .with({ kind: 'through' }, ({ vms }) => ({ entries: listEntries(fleet, vms) }))
    .with({ kind: 'noKey' }, () => ({ key: undefined }))
    .with({ kind: 'unknownKey' }, () => ({ key: bundle.createKey() }))
    .with({ kind: 'exposing', place: P.select() }, (place) => EXPOSURES[place](key))
    .with({ kind: 'bodies' }, ({ bytes }) => ({ bodyBytes: bytes }))
    .with({ kind: 'timeout' }, ({ durationMs }) => ({ timeoutMs: durationMs }))
    .exhaustive();
}

function listEntries(fleet: Fleet, names: readonly string[]): string[] {
  const unknown = names.find((name) => !fleet.vms.has(name));
  if (unknown !== undefined) {
    throw new Error(`there is no VM ${unknown}`);
  }
  return [...fleet.listEntries(names)];
}
