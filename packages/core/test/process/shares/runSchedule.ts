import type * as membership from '../../../src/process/membership/index.js';
import { createBundle, type TestRate } from './createBundle.js';
import { findOverrun } from './findOverrun.js';
import { SeededRandom } from './SeededRandom.js';
import { ShareFleet, type FleetOptions } from './ShareFleet.js';

/** Fleet size, limits and faults of one randomized schedule. */
export interface Schedule {
  readonly seed: number;
  readonly vms: number;
  readonly domains: number;
  /** Number of VMs that `max-vms` allows in addition to the running ones. */
  readonly spare: number;
  readonly shareLeaseMs: number;
  readonly lengthMs: number;
  /** Probability that a message is lost, duplicated, or delayed by up to two leases. */
  readonly loss: number;
  readonly duplication: number;
  readonly delay: number;
  /**
   * Mean time between faults in the whole fleet; each is a restart, stop, pause, partition or change of a list of VMs.
   */
  readonly faultMs: number;
  /** True if the bundle changes once. */
  readonly changesBundle: boolean;
  readonly rate: number;
  readonly burst: number;
  /** Interval at which the usable capacity of all nodes is summed; infinite for never. */
  readonly sampleMs: number;
}

export type Mutation = Pick<FleetOptions, 'skipStartupWait' | 'staleClock'>;

export interface ScheduleResult {
  readonly granted: number;
  /** Largest excess over the window bound, in grants. */
  readonly overrun: number;
  /** Largest fraction of capacity or refill that was usable at one time; above 1, some of it was at two places. */
  readonly usable: number;
}

const MAX_CLOCK_DRIFT = 0.01;

/** Divisor of the rate. A flood has about 57 events per second, so it requests at least 1.4 times the rate. */
const FLOOD_EVENTS_PER_SECOND = 40;

const WORKSPACES = ['ferry', 'market'];

/** Runs one schedule and checks the window bound of every workspace. */
export function runSchedule(schedule: Schedule, mutation: Mutation = {}): ScheduleResult {
  const random = new SeededRandom(schedule.seed);
  const grants = new Map<string, number[]>(WORKSPACES.map((name) => [name, []]));
  const groupOf = new Map<string, number>();
  const fleet = new ShareFleet({
    ...mutation,
    random,
    bundle: createScheduleBundle(schedule, 1),
    network: (from, to) => pickDelays(schedule, random, isPartitioned(groupOf, from, to)),
  });
  const vms = createVms(schedule);
  const startVm = (vm: membership.VmRecord): void => {
    const drift = random.pick([-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT, random.pickBetween(-0.01, 0.01)]);
    fleet.start(vm.name, vm.failureDomain, 1 + drift);
    fleet.replaceList(vm.name, vms);
  };
  vms.forEach(startVm);
  scheduleFaults(schedule, random, fleet, vms, startVm, groupOf);
  scheduleDemand(schedule, random, fleet, vms, grants);
  if (schedule.changesBundle) {
    fleet.events.schedule(schedule.lengthMs / 2, () =>
      fleet.adopt(createScheduleBundle(schedule, 2), () => random.pickBetween(0, 1_000)),
    );
  }
  const usable = runSampled(schedule, fleet);
  return { ...collectResult(schedule, grants), usable };
}

function createVms(schedule: Schedule): readonly membership.VmRecord[] {
  return Array.from({ length: schedule.vms }, (_, index) => ({
    name: `vm-${index}`,
    service: 'desk',
    failureDomain: `domain-${index % schedule.domains}`,
    peerAddress: `127.0.0.1:${index}`,
    state: 'live' as const,
  }));
}

function createScheduleBundle(schedule: Schedule, version: number) {
  return createBundle(createRates(schedule, version), {
    maxVms: schedule.vms + schedule.spare,
    shareLeaseMs: schedule.shareLeaseMs,
    version,
  });
}

/**
 * The first workspace keeps its limits. The second one has half of them; version 2 removes it or raises it to all of
 * them.
 */
function createRates(schedule: Schedule, version: number): readonly TestRate[] {
  const { rate, burst } = schedule;
  const ferry = { name: 'ferry', rate, burst };
  if (version === 1) {
    return [ferry, { name: 'market', rate: rate / 2, burst: Math.max(1, burst / 2) }];
  }
  return schedule.seed % 2 === 0 ? [ferry] : [ferry, { name: 'market', rate, burst }];
}

function collectResult(
  schedule: Schedule,
  grants: ReadonlyMap<string, readonly number[]>,
): Omit<ScheduleResult, 'usable'> {
  // If a rate is raised during the run, the higher one bounds all windows.
  const rates = createRates(schedule, schedule.changesBundle && schedule.seed % 2 !== 0 ? 2 : 1);
  const overruns = rates.map(({ name, rate, burst }) =>
    findOverrun(grants.get(name) ?? [], rate, burst),
  );
  const granted = [...grants.values()].reduce((sum, times) => sum + times.length, 0);
  return { granted, overrun: Math.max(...overruns) };
}

function runSampled(schedule: Schedule, fleet: ShareFleet): number {
  let most = 0;
  while (fleet.events.nowMs < schedule.lengthMs) {
    fleet.events.run(Math.min(schedule.lengthMs, fleet.events.nowMs + schedule.sampleMs));
    const { capacity, refill } = fleet.computeUsable('ferry');
    most = Math.max(most, capacity, refill);
  }
  return most;
}

function isPartitioned(groupOf: ReadonlyMap<string, number>, from: string, to: string): boolean {
  return groupOf.get(from) !== groupOf.get(to);
}

function pickDelays(schedule: Schedule, random: SeededRandom, isLost: boolean): readonly number[] {
  if (isLost || random.has(schedule.loss)) {
    return [];
  }
  const pickDelayMs = (): number =>
    random.has(schedule.delay)
      ? random.pickBetween(0, 2 * schedule.shareLeaseMs)
      : random.pickBetween(0.1, 3);
  return random.has(schedule.duplication) ? [pickDelayMs(), pickDelayMs()] : [pickDelayMs()];
}

function scheduleFaults(
  schedule: Schedule,
  random: SeededRandom,
  fleet: ShareFleet,
  vms: readonly membership.VmRecord[],
  startVm: (vm: membership.VmRecord) => void,
  groupOf: Map<string, number>,
): void {
  const { shareLeaseMs } = schedule;
  const faults = [
    () => startVm(random.pick(vms)),
    () => fleet.release(random.pick(vms).name),
    () => fleet.pause(random.pick(vms).name, random.pickBetween(10, 2.5 * shareLeaseMs)),
    () => fleet.pause(random.pick(vms).name, random.pickBetween(0.2, 1) * shareLeaseMs),
    () => {
      const groups = random.pick([1, 2, 3]);
      vms.forEach((vm) => groupOf.set(vm.name, Math.floor(random.next() * groups)));
    },
    () => {
      const kept = random.pickBetween(0.3, 1);
      fleet.replaceList(
        random.pick(vms).name,
        vms.filter(() => random.has(kept)),
      );
    },
    () => vms.forEach((vm) => fleet.replaceList(vm.name, vms)),
    () => vms.filter((vm) => !fleet.nodes.get(vm.name)?.alive).forEach(startVm),
  ];
  const runFault = (): void => {
    random.pick(faults)();
    fleet.events.schedule(
      fleet.events.nowMs + random.pickBetween(0, 2 * schedule.faultMs),
      runFault,
    );
  };
  fleet.events.schedule(2 * shareLeaseMs, runFault);
}

/** Alternates idle phases, in which buckets fill, with floods of requests that use all available tokens. */
function scheduleDemand(
  schedule: Schedule,
  random: SeededRandom,
  fleet: ShareFleet,
  vms: readonly membership.VmRecord[],
  grants: ReadonlyMap<string, number[]>,
): void {
  const request = (target: membership.VmRecord, workspace: string): void => {
    fleet.request(target.name, workspace, (outcome) => {
      if (outcome === 'granted') {
        grants.get(workspace)?.push(fleet.events.nowMs);
      }
    });
  };
  const flood = (targets: readonly membership.VmRecord[], untilMs: number): void => {
    const calls = Math.ceil(schedule.rate / FLOOD_EVENTS_PER_SECOND);
    for (let call = 0; call < calls; call++) {
      request(random.pick(targets), random.pick(WORKSPACES));
    }
    if (fleet.events.nowMs < untilMs) {
      fleet.events.schedule(fleet.events.nowMs + random.pickBetween(5, 30), () =>
        flood(targets, untilMs),
      );
    }
  };
  const runPhase = (): void => {
    const lengthMs = random.pickBetween(50, 1_200);
    const targets = random.pick([[], vms, vms, [random.pick(vms)]]);
    if (targets.length > 0) {
      flood(targets, fleet.events.nowMs + lengthMs);
    }
    fleet.events.schedule(fleet.events.nowMs + lengthMs, runPhase);
  };
  fleet.events.schedule(schedule.shareLeaseMs, runPhase);
}
