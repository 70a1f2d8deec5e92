import { toBinary } from '@bufbuild/protobuf';
import { buildBundle, type Bundle } from '@tanagerpond/bundle';
import { FrameSchema } from '@tanagerpond/wire';
import { Membership, type VmRecord } from '../../src/process/membership/index.js';
import { RateLimiter, type ShareCommand, type ShareFrame } from '../../src/process/shares/index.js';
import { createRandom } from '../createRandom.js';
import { buildBenchTexts } from './buildBenchTexts.js';

const TICK_MS = 50;
const WARM_UP_MS = 8_000;
const MEASURED_MS = 20_000;

/** Requests a second at the spender: 2.1 million calls a second on 18,000 nodes, if all of them come from callers. */
const SPENDER_RATE = 117;

interface Member {
  readonly vm: VmRecord;
  readonly ledger: RateLimiter;
  cpuMs: number;
  messages: number;
  bytes: number;
}

interface Plan {
  readonly domains: number;
  readonly vmsPerDomain: number;
  readonly workspaces: number;
}

/** Measures the processor time, messages and bytes a second of an idle owner, a holder and a spender. */
export function measureShares(): readonly object[] {
  return [
    { domains: 1, vmsPerDomain: 50, workspaces: 8 },
    { domains: 1, vmsPerDomain: 200, workspaces: 8 },
    { domains: 1, vmsPerDomain: 783, workspaces: 8 },
    { domains: 1, vmsPerDomain: 200, workspaces: 64 },
    { domains: 4, vmsPerDomain: 4, workspaces: 8 },
    { domains: 23, vmsPerDomain: 4, workspaces: 8 },
    { domains: 23, vmsPerDomain: 4, workspaces: 64 },
  ].map((plan) => runPlan(plan));
}

function runPlan(plan: Plan): object {
  const count = plan.domains * plan.vmsPerDomain;
  const bundle = buildBundle(1, 'digest', buildBenchTexts(plan.workspaces, 1, count)).unwrapOrElse(
    (error) => {
      throw new Error(JSON.stringify(error));
    },
  );
  const members = createMembers(plan, bundle);
  const spender = members.get('vm-1') as Member;
  let requests = 0;
  for (let nowMs = TICK_MS; nowMs <= WARM_UP_MS + MEASURED_MS; nowMs += TICK_MS) {
    if (nowMs === WARM_UP_MS + TICK_MS) {
      members.forEach((member) => Object.assign(member, { cpuMs: 0, messages: 0, bytes: 0 }));
    }
    const due = Math.floor((nowMs * SPENDER_RATE) / 1_000);
    for (; requests < due; requests++) {
      const workspace = `workspace-${requests % plan.workspaces}`;
      spender.ledger.request(workspace, `q${requests}`, nowMs);
    }
    members.forEach((member) =>
      deliver(members, member, member.ledger.advance.bind(member.ledger), nowMs),
    );
  }
  return {
    ...plan,
    ...describe('owner', pickOwner(members, spender)),
    ...describe('holder', pickBusiest(members, spender)),
    ...describe('spender', spender),
  };
}

function createMembers(plan: Plan, bundle: Bundle): Map<string, Member> {
  const vms: VmRecord[] = Array.from({ length: plan.domains * plan.vmsPerDomain }, (_, index) => ({
    name: `vm-${index}`,
    service: 'service-0',
    failureDomain: `domain-${index % plan.domains}`,
    peerAddress: '127.0.0.1:1',
    state: 'live',
  }));
  return new Map(
    vms.map((vm, index) => {
      const self = { ...vm, incarnation: `i${index}` };
      const membership = new Membership(self);
      membership.replaceList(vms, 0);
      const random = createRandom(index + 1);
      const ledger = new RateLimiter({ self, membership, random, startedMs: -10_000 });
      ledger.applyBundle(bundle, 0);
      return [vm.name, { vm, ledger, cpuMs: 0, messages: 0, bytes: 0 }];
    }),
  );
}

/** Runs one step of a member and delivers its frames immediately, until no frame is left. */
function deliver(
  members: ReadonlyMap<string, Member>,
  member: Member,
  step: (nowMs: number) => readonly ShareCommand[],
  nowMs: number,
): void {
  const begin = performance.now();
  const commands = step(nowMs);
  Object.assign(member, { cpuMs: member.cpuMs + performance.now() - begin });
  commands.forEach((command) => {
    const peer = 'peer' in command ? members.get(command.peer) : undefined;
    if (peer === undefined || !('frame' in command)) {
      return;
    }
    const bytes = toBinary(FrameSchema, command.frame).length;
    [member, peer].forEach((end) =>
      Object.assign(end, { messages: end.messages + 1, bytes: end.bytes + bytes }),
    );
    const body = command.frame.body as ShareFrame;
    deliver(members, peer, (atMs) => peer.ledger.receive(member.vm.name, body, atMs), nowMs);
  });
}

/** Picks the idle owner: the VM with the fewest messages, the spender apart. */
function pickOwner(members: ReadonlyMap<string, Member>, spender: Member): Member {
  const others = [...members.values()].filter((member) => member !== spender);
  return others.reduce((least, member) => (member.messages < least.messages ? member : least));
}

/** Picks the holder: the VM with the most messages, the spender apart. */
function pickBusiest(members: ReadonlyMap<string, Member>, spender: Member): Member {
  const others = [...members.values()].filter((member) => member !== spender);
  return others.reduce((most, member) => (member.messages > most.messages ? member : most));
}

function describe(role: string, member: Member): Record<string, number> {
  const seconds = MEASURED_MS / 1_000;
  return {
    [`${role}CpuMsPerS`]: round(member.cpuMs / seconds),
    [`${role}MessagesPerS`]: round(member.messages / seconds),
    [`${role}BytesPerS`]: Math.round(member.bytes / seconds),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
