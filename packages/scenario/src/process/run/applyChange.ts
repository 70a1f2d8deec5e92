import type { VirtualMachine } from '../fleet/index.js';
import type { ChangePart, ChangeVerb } from '../language/index.js';
import { findVm, type ScenarioState } from './ScenarioState.js';

/** Time within which a process must exit after SIGTERM. A graceful stop cuts off work that takes longer by design. */
const STOP_TIMEOUT_MS = 15_000;

type Change = (state: ScenarioState, vm: VirtualMachine) => Promise<void> | void;

const NODE_CHANGES: Readonly<Record<ChangeVerb, Change>> = {
  start: (_state, vm) => vm.startNode(),
  stop: (state, vm) => stopProcess(state, vm, 'node'),
  kill: (state, vm) => endProcess(state, vm, 'node'),
  freeze: (_state, vm) => vm.setNodeFrozen(true),
  resume: (_state, vm) => vm.setNodeFrozen(false),
};

const BACKEND_CHANGES: Readonly<Record<ChangeVerb, Change>> = {
  start: (_state, vm) => vm.startBackend(),
  stop: (state, vm) => stopProcess(state, vm, 'backend'),
  kill: (state, vm) => endProcess(state, vm, 'backend'),
  freeze: (_state, vm) => vm.backend?.send('SIGSTOP'),
  resume: (_state, vm) => vm.backend?.send('SIGCONT'),
};

/** A planned stop stops the node first, which waits for its calls to end. A kill ends both processes at once. */
const VM_CHANGES: Readonly<Record<ChangeVerb, Change>> = {
  start: async (state, vm) => {
    await BACKEND_CHANGES.start(state, vm);
    await NODE_CHANGES.start(state, vm);
  },
  stop: async (state, vm) => {
    await NODE_CHANGES.stop(state, vm);
    await BACKEND_CHANGES.stop(state, vm);
  },
  kill: async (state, vm) => {
    await Promise.all([NODE_CHANGES.kill(state, vm), BACKEND_CHANGES.kill(state, vm)]);
  },
  freeze: async (state, vm) => {
    await NODE_CHANGES.freeze(state, vm);
    await BACKEND_CHANGES.freeze(state, vm);
  },
  resume: async (state, vm) => {
    await BACKEND_CHANGES.resume(state, vm);
    await NODE_CHANGES.resume(state, vm);
  },
};

const CHANGES: Readonly<Record<ChangePart, Readonly<Record<ChangeVerb, Change>>>> = {
  'node of': NODE_CHANGES,
  'backend server of': BACKEND_CHANGES,
  VM: VM_CHANGES,
};

/**
 * Starts, stops, kills, freezes or resumes the node of a VM, its backend server, or both.
 * @param state - State of the run.
 * @param verb - What to do; start, stop and kill wait until the process is ready or has exited.
 * @param part - Which processes of the VM are affected.
 * @param name - Name of the VM.
 * @throws Error if the VM does not exist or a process does not start or stop in time.
 */
export async function applyChange(
  state: ScenarioState,
  verb: ChangeVerb,
  part: ChangePart,
  name: string,
): Promise<void> {
  await CHANGES[part][verb](state, findVm(state, name));
}

async function stopProcess(
  state: ScenarioState,
  vm: VirtualMachine,
  part: 'node' | 'backend',
): Promise<void> {
  state.stopRequestedMs.set(
    vm.plan.name,
    state.stopRequestedMs.get(vm.plan.name) ?? performance.now(),
  );
  const process = vm[part];
  if (process === undefined) {
    return;
  }
  state.expectedEnds.add(`${part} ${vm.plan.name}`);
  process.send('SIGTERM');
  if (!(await process.waitEnd(STOP_TIMEOUT_MS))) {
    throw new Error(`${process.name} did not stop within ${STOP_TIMEOUT_MS} ms`);
  }
}

async function endProcess(
  state: ScenarioState,
  vm: VirtualMachine,
  part: 'node' | 'backend',
): Promise<void> {
  state.expectedEnds.add(`${part} ${vm.plan.name}`);
  await vm[part]?.[Symbol.asyncDispose]();
}
