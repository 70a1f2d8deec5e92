import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import type * as membership from '../../src/process/membership/index.js';
import { createBundle, type TestRate } from '../../test/process/shares/createBundle.js';
import { SeededRandom } from '../../test/process/shares/SeededRandom.js';
import { ShareFleet } from '../../test/process/shares/ShareFleet.js';
import { HomeNodeLimiter } from './HomeNodeLimiter.js';
import { ReferenceBucket } from './ReferenceBucket.js';
import { StaticShareLimiter } from './StaticShareLimiter.js';

/**
 * Where requests arrive, and what fails. `oneNode`: all at one VM; `moving`: all at one VM that changes every
 * `MOVE_MS`; otherwise at all VMs, with the death of a holder in `deadVm` and a network partition in `split`.
 */
export type Scenario = 'oneNode' | 'allNodes' | 'moving' | 'deadVm' | 'split';

export interface Trial {
  readonly seed: number;
  readonly vms: number;
  readonly domains: number;
  readonly maxVms: number;
  /** One-way delay between failure domains, in milliseconds. */
  readonly delayMs: number;
  readonly scenario: Scenario;
  /** Demand as a fraction of each rate. */
  readonly load: number;
  readonly rates: readonly TestRate[];
}

/** Requests, requests within the rate, and how many of the latter each limiter refused. */
export interface Count {
  offered: number;
  inside: number;
  /** Refused by the ledger, whether within the rate or not. */
  refused: number;
  ledger: number;
  fixed: number;
  home: number;
}

/** Control traffic of one node, sent and received. */
export interface Traffic {
  messages: number;
  bytes: number;
}

export interface TrialResult {
  readonly counts: ReadonlyMap<string, Count>;
  readonly traffic: ReadonlyMap<string, Traffic>;
  /** Names of the VMs that are holders at the end. */
  readonly holders: ReadonlySet<string>;
  readonly measuredMs: number;
}

export const SHARE_LEASE_MS = 3_000;

const WARM_UP_MS = 8_000;

export const MEASURED_MS = 60_000;

/** Time after which the platform's VM list shows that a VM is dead. */
const LIST_LAG_MS = 5_000;

/** Time after which the requests of the scenario `moving` go to the next VM. */
const MOVE_MS = 3_000;

const LOCAL_DELAY_MS = 0.25;

/** Bytes of the gRPC message header and the HTTP/2 frame header. */
const ENVELOPE_BYTES = 14;

/** Runs one load on a fleet with share ledgers and on the baseline limiters, with the same arrivals. */
export function runTrial(trial: Trial): TrialResult {
  const random = new SeededRandom(trial.seed);
  const vms = createVms(trial);
  const names = vms.map((vm) => vm.name);
  const domainOf = new Map(vms.map((vm) => [vm.name, vm.failureDomain]));
  const side = new Map(names.map((name, index) => [name, index % 2]));
  const traffic = new Map<string, Traffic>(names.map((name) => [name, { messages: 0, bytes: 0 }]));
  const phase = { isMeasured: false };
  const isMeasured = (): boolean => phase.isMeasured;
  const dead = new Set<string>();
  const isDead = (name: string): boolean => dead.has(name);
  const isSplit = (): boolean => trial.scenario === 'split' && isMeasured();
  const canReach = (from: string, to: string): boolean =>
    !isDead(to) && !(isSplit() && side.get(from) !== side.get(to));
  const fleet = new ShareFleet({
    random,
    bundle: createBundle(trial.rates, { maxVms: trial.maxVms, shareLeaseMs: SHARE_LEASE_MS }),
    network: (from, to, frame) => {
      const isCounted = isMeasured();
      [from, to].filter(() => isCounted).forEach((name) => recordTraffic(traffic, name, frame));
      const isLocal = domainOf.get(from) === domainOf.get(to);
      return canReach(from, to) ? [isLocal ? LOCAL_DELAY_MS : trial.delayMs] : [];
    },
  });
  fleet.events.schedule(WARM_UP_MS, () => Object.assign(phase, { isMeasured: true }));
  vms.forEach((vm) => {
    fleet.start(vm.name, vm.failureDomain, random.pickBetween(0.9999, 1.0001));
    fleet.replaceList(vm.name, vms);
  });
  const homes = new HomeNodeLimiter(names);
  if (trial.scenario === 'deadVm') {
    scheduleDeath(fleet, vms, homes, dead);
  }
  const fixed = new StaticShareLimiter(trial.maxVms);
  const counts = new Map<string, Count>();
  trial.rates.forEach((rate) => {
    const count: Count = { offered: 0, inside: 0, refused: 0, ledger: 0, fixed: 0, home: 0 };
    const ideal = new ReferenceBucket(rate.rate, rate.burst);
    counts.set(rate.name, count);
    const arrive = (): void => {
      const { nowMs } = fleet.events;
      const vm = pickTarget(trial, random, names, nowMs);
      if (!isDead(vm)) {
        const isCounted = isMeasured();
        const isWithinRate = ideal.tryConsume(nowMs) && isCounted;
        const isGrantedByStaticShare = fixed.decide(vm, rate, nowMs);
        const isGrantedByHome = homes.decide(vm, rate, nowMs, canReach);
        count.offered += isCounted ? 1 : 0;
        count.inside += isWithinRate ? 1 : 0;
        count.fixed += isWithinRate && !isGrantedByStaticShare ? 1 : 0;
        count.home += isWithinRate && !isGrantedByHome ? 1 : 0;
        fleet.request(vm, rate.name, (outcome) => {
          count.ledger += isWithinRate && outcome === 'denied' ? 1 : 0;
          count.refused += isCounted && outcome === 'denied' ? 1 : 0;
        });
      }
      const gapMs = (-Math.log(1 - random.next()) * 1_000) / (rate.rate * trial.load);
      fleet.events.schedule(nowMs + gapMs, arrive);
    };
    fleet.events.schedule(0, arrive);
  });
  fleet.events.run(WARM_UP_MS + MEASURED_MS);
  const holders = [...fleet.nodes.values()].filter((node) => isHolder(node.limiter, node));
  return {
    counts,
    traffic,
    holders: new Set(holders.map((node) => node.self.name)),
    measuredMs: MEASURED_MS,
  };
}

function isHolder(
  ledger: { snapshot: (nowMs: number) => { holder: boolean } },
  node: { tickMs: number },
): boolean {
  return ledger.snapshot(node.tickMs).holder;
}

function createVms(trial: Trial): readonly membership.VmRecord[] {
  return Array.from({ length: trial.vms }, (_, index) => ({
    name: `vm-${index}`,
    service: 'desk',
    failureDomain: `domain-${index % trial.domains}`,
    peerAddress: `127.0.0.1:${index}`,
    state: 'live' as const,
  }));
}

/** Schedules the death of the first holder, the VM whose loss affects the ledger most. */
function scheduleDeath(
  fleet: ShareFleet,
  vms: readonly membership.VmRecord[],
  homes: HomeNodeLimiter,
  deadVms: Set<string>,
): void {
  fleet.events.schedule(WARM_UP_MS, () => {
    const holder = [...fleet.nodes.values()].find((node) => isHolder(node.limiter, node));
    const dead = holder?.self.name ?? '';
    fleet.stop(dead);
    deadVms.add(dead);
    const left = vms.filter((vm) => vm.name !== dead);
    homes.replace(dead, WARM_UP_MS + LIST_LAG_MS + SHARE_LEASE_MS);
    fleet.events.schedule(WARM_UP_MS + LIST_LAG_MS, () =>
      left.forEach((vm) => fleet.replaceList(vm.name, left)),
    );
  });
}

function pickTarget(
  trial: Trial,
  random: SeededRandom,
  names: readonly string[],
  nowMs: number,
): string {
  if (trial.scenario === 'oneNode') {
    return names[0] ?? '';
  }
  if (trial.scenario === 'moving') {
    return names[Math.floor(nowMs / MOVE_MS) % names.length] ?? '';
  }
  return random.pick(names);
}

function recordTraffic(traffic: Map<string, Traffic>, name: string, frame: wire.Frame): void {
  const entry = traffic.get(name);
  if (entry !== undefined) {
    entry.messages += 1;
    entry.bytes += protobuf.toBinary(wire.FrameSchema, frame).length + ENVELOPE_BYTES;
  }
}
