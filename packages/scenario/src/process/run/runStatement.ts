import { time } from '@tanagerpond/testkit';
import type { Action, OfKind, VmSelector } from '../language/index.js';
import { applyChange } from './applyChange.js';
import { publishRollout } from './publishRollout.js';
import { sendCrashRequests } from './sendCrashRequests.js';
import { findLoad, findVm, type ScenarioState } from './ScenarioState.js';
import { startLoad } from './startLoad.js';

type Handlers = {
  readonly [Kind in Action['kind']]?: (
    state: ScenarioState,
    action: OfKind<Action, Kind>,
  ) => Promise<unknown> | void;
};

const PLATFORM_MODES = {
  stops: 'down',
  'goes silent': 'silent',
  'goes stale': 'stale',
  resumes: 'normal',
} as const;

const PLATFORM_PARTS = {
  platform: ['bundle', 'list'],
  'configuration service': ['bundle'],
  'VM list': ['list'],
} as const;

/** Handlers by kind of statement. All other kinds are handled by ScenarioRunner. */
const HANDLERS: Handlers = {
  load: startLoad,
  warmUp: async (state, action) => {
    startLoad(state, action);
    await state.runningLoads.get(action.name);
    Object.assign(state, { firstCountedRun: state.fleet.runCollector.runs.length });
  },
  stopLoad: (state, action) => findLoad(state, action.load).stop(),
  wait: (state, action) => time.waitFor(action.durationMs, state.signal),
  waitLoad: (state, action) => state.runningLoads.get(action.load),
  waitLoads: (state) => Promise.all(state.runningLoads.values()),
  change: (state, action) => applyChange(state, action.verb, action.part, action.vm),
  cut: (state, action) =>
    state.fleet.links.setState(
      listSelectedVms(state, action.left),
      listSelectedVms(state, action.right),
      action.manner === 'silently' ? 'silent' : 'refused',
    ),
  heal: (state) => {
    const everything = listSelectedVms(state, { kind: 'everything' });
    state.fleet.links.setState(everything, everything, 'open');
  },
  platform: (state, action) =>
    state.fleet.platform.send('/mode', {
      parts: PLATFORM_PARTS[action.part],
      mode: PLATFORM_MODES[action.state],
    }),
  lag: (state, action) => state.fleet.platform.send('/lag', { lagMs: action.durationMs }),
  listed: (state, action) => state.fleet.setListState(action.vm, action.state),
  withdraw: async (state, action) => {
    state.fleet.deployment.replaceKey(action.workspace);
    await publishRollout(state);
    state.withdrawnMs.set(action.workspace, performance.now());
  },
  rollOut: async (state, action) => {
    state.fleet.deployment.setValue(action.section, action.key, action.value);
    await publishRollout(state);
  },
  crash: sendCrashRequests,
  slow: (state, action) => state.fleet.setSlowdown(action.service, action.factor),
  health: (state, action) =>
    findVm(state, action.vm).sendBackend('/faults', { health: action.state }),
};

/**
 * Runs one statement on a running fleet. A load is started in the background; all other statements are awaited.
 * @param state - State of the run.
 * @param action - A statement after `start fleet` other than `expect`.
 * @throws Error if the statement fails, for example because a name is unknown.
 */
export async function runStatement(state: ScenarioState, action: Action): Promise<void> {
  const handler = HANDLERS[action.kind] as
    ((of: ScenarioState, what: Action) => Promise<unknown> | void) | undefined;
  await handler?.(state, action);
}

function listSelectedVms(state: ScenarioState, selector: VmSelector): readonly string[] {
  const vms = [...state.fleet.vms.values()].map((vm) => vm.plan);
  switch (selector.kind) {
    case 'vm':
      return [findVm(state, selector.name).plan.name];
    case 'domain':
      return vms.filter((vm) => vm.failureDomain === selector.name).map((vm) => vm.name);
    default:
      return vms.map((vm) => vm.name);
  }
}
