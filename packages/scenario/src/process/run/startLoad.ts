import * as bundle from '@tanagerpond/bundle';
import { caller } from '@tanagerpond/testkit';
import { match, P } from 'ts-pattern';
import { buildTarget, type Deployment, type Fleet } from '../fleet/index.js';
import type { Action, KeyPlace, LoadOption, OfKind } from '../language/index.js';
import type { ScenarioState } from './ScenarioState.js';

type LoadAction = OfKind<Action, 'load'>;

type Change = Partial<caller.CallerOptions>;

/**
 * Options that put a copy of the key in each place. In an encoded query, one character of the key is percent-encoded.
 */
const EXPOSURES: Readonly<Record<KeyPlace, (key: string) => Change>> = {
  header: (key) => ({ headers: { 'x-note': `key ${key}` } }),
  query: (key) => ({ query: `?note=${key}` }),
  'encoded query': (key) => ({ query: `?note=${key.replace('tpk_', 'tpk%5F')}` }),
  body: (key) => ({ bodyText: `my key is ${key}` }),
};

/**
 * Starts a load in the background and adds it to the state.
 * @param state - State of the run.
 * @param action - Statement that describes the load.
 * @throws Error if the deployment does not have the workspace, a route or a VM of the statement.
 */
export function startLoad(state: ScenarioState, action: LoadAction): void {
  const { deployment } = state.fleet;
  const key = deployment.findKey(action.workspace);
  if (!deployment.bundle.workspaces.has(action.workspace)) {
    throw new Error(`the deployment has no workspace ${action.workspace}`);
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
 * Builds the caller's view of a route: its method, its path with the service segment and whether it is repeatable.
 * @param deployment - Deployment with the bundle.
 * @param name - Name of the route.
 * @throws Error if the bundle does not have the route.
 */
export function buildCallerRoute(deployment: Deployment, name: string): caller.CallerRoute {
  const route = deployment.bundle.routes.get(name);
  if (route === undefined) {
    throw new Error(`the deployment has no route ${name}`);
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
    throw new Error(`the deployment has no VM ${unknown}`);
  }
  return [...fleet.listEntries(names)];
}
