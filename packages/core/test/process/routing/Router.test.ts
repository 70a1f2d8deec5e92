import { expect } from 'chai';
import type { VmIdentity, VmRecord } from '../../../src/process/membership/index.js';
import { Membership } from '../../../src/process/membership/index.js';
import { Router, type LoadHint } from '../../../src/process/routing/index.js';
import { createRandom } from '../../../bench/createRandom.js';

const SELF: VmIdentity = {
  name: 'entry',
  service: 'vitrina',
  failureDomain: 'a',
  incarnation: '00',
};
const SERVICE = 'boleteria';

interface Behavior {
  readonly latencyMs: number;
  readonly kind?: 'answered' | 'failed' | 'refused';
}

/** A router with simulated VMs. A call arrives every 2 ms and ends after the latency of the selected VM. */
class Traffic {
  readonly membership = new Membership(SELF);

  readonly router: Router;

  readonly behaviors = new Map<string, Behavior>();

  nowMs = 0;

  #ends: { atMs: number; vm: string; behavior: Behavior; sentMs: number }[] = [];

  constructor(domains: readonly string[]) {
    this.router = new Router({ self: SELF, membership: this.membership, random: createRandom(9) });
    const names = domains.map((_, index) => `vm${index}`);
    this.replaceList(names, domains);
    names.forEach((name) => this.behaviors.set(name, { latencyMs: 10 }));
  }

  replaceList(names: readonly string[], domains: readonly string[]): void {
    const records = names.map((name, index): VmRecord => ({
      name,
      service: SERVICE,
      failureDomain: domains[index],
      peerAddress: `10.0.0.${index}:1`,
      state: 'live',
    }));
    this.membership.replaceList(records, this.nowMs);
  }

  run(calls: number, excluded: ReadonlySet<string> = new Set()): Map<string, number> {
    const counts = new Map<string, number>();
    for (let call = 0; call < calls; call++) {
      this.nowMs += 2;
      this.#finishDue();
      const vm = this.router.choose(SERVICE, excluded, this.nowMs);
      if (vm !== undefined) {
        counts.set(vm.name, (counts.get(vm.name) ?? 0) + 1);
        this.#send(vm.name);
      }
    }
    return counts;
  }

  #send(vm: string): void {
    const behavior = this.behaviors.get(vm) ?? { latencyMs: 10 };
    this.router.recordSent(vm, this.nowMs);
    this.#ends.push({
      ...{ vm, behavior, sentMs: this.nowMs },
      atMs: this.nowMs + behavior.latencyMs,
    });
  }

  #finishDue(): void {
    const due = this.#ends.filter((end) => end.atMs <= this.nowMs);
    this.#ends = this.#ends.filter((end) => end.atMs > this.nowMs);
    due.forEach(({ vm, behavior, sentMs }) => {
      const latencyMs = this.nowMs - sentMs;
      this.router.recordOutcome(
        vm,
        { kind: behavior.kind ?? 'answered', latencyMs, load: createLoad() },
        this.nowMs,
      );
    });
  }
}

function createLoad(): LoadHint {
  return { inFlight: 4, queued: 0, limit: 40, rateLimit: 0 };
}

function count(counts: Map<string, number>, vm: string): number {
  return counts.get(vm) ?? 0;
}

describe('Router', () => {
  it('guards against uneven load on equal VMs', () => {
    const traffic = new Traffic(['a', 'a', 'a', 'a', 'a', 'a']);
    const counts = traffic.run(12_000);
    expect(counts.size).to.equal(6);
    counts.forEach((value) => expect(value).to.be.within(1800, 2200));
  });

  it('guards against a VM that attracts calls because it fails fast', () => {
    const traffic = new Traffic(['a', 'a', 'a', 'a']);
    traffic.behaviors.set('vm0', { latencyMs: 1, kind: 'failed' });
    const counts = traffic.run(20_000);
    expect(count(counts, 'vm0')).to.be.at.most(400);
  });

  it('guards against a VM that fails fast and attracts calls in a service of two VMs, where none may be ejected', () => {
    const traffic = new Traffic(['a', 'a']);
    traffic.behaviors.set('vm0', { latencyMs: 1, kind: 'failed' });
    expect(count(traffic.run(10_000), 'vm0')).to.be.at.most(1000);
  });

  it('guards against many calls to a VM that is 10 times slower', () => {
    const traffic = new Traffic(['a', 'a', 'a', 'a']);
    traffic.behaviors.set('vm0', { latencyMs: 100 });
    expect(count(traffic.run(20_000), 'vm0')).to.be.at.most(1000);
  });

  it('guards against a VM that is still avoided after it has recovered', () => {
    const traffic = new Traffic(['a', 'a', 'a', 'a']);
    traffic.behaviors.set('vm0', { latencyMs: 100, kind: 'failed' });
    traffic.run(5000);
    traffic.behaviors.set('vm0', { latencyMs: 10 });
    traffic.run(40_000);
    expect(count(traffic.run(4000), 'vm0')).to.be.within(800, 1200);
  });

  it('guards against calls that leave the failure domain without need', () => {
    const traffic = new Traffic(['a', 'a', 'b', 'b', 'c', 'c']);
    ['vm2', 'vm3', 'vm4', 'vm5'].forEach((vm) => traffic.behaviors.set(vm, { latencyMs: 13 }));
    const counts = traffic.run(10_000);
    expect(count(counts, 'vm0') + count(counts, 'vm1')).to.be.at.least(9500);
    ['vm0', 'vm1'].forEach((vm) => traffic.behaviors.set(vm, { latencyMs: 60 }));
    const slow = traffic.run(10_000);
    expect(count(slow, 'vm0') + count(slow, 'vm1')).to.be.at.most(2000);
  });

  it('guards against the ejection of more than a third of the VMs, and of VMs that refuse no more than the others', () => {
    const traffic = new Traffic(['a', 'a', 'a', 'a', 'a', 'a']);
    ['vm0', 'vm1', 'vm2'].forEach((vm) =>
      traffic.behaviors.set(vm, { latencyMs: 5, kind: 'failed' }),
    );
    const counts = traffic.run(5000);
    const { vms } = traffic.router.snapshot(traffic.nowMs) as { vms: { ejectedForMs: number }[] };
    expect(vms.filter(({ ejectedForMs }) => ejectedForMs > 0)).to.have.lengthOf(2);
    expect(counts.size).to.equal(6);
    const refusing = new Traffic(['a', 'a', 'a']);
    ['vm0', 'vm1', 'vm2'].forEach((vm) =>
      refusing.behaviors.set(vm, { latencyMs: 5, kind: 'refused' }),
    );
    refusing.run(3000);
    refusing.run(3000).forEach((value) => expect(value).to.be.within(800, 1200));
  });

  it('guards against repeated ejections that do not become longer', () => {
    const { router } = new Traffic(['a', 'a', 'a', 'a']);
    let nowMs = 0;
    const durationsMs = [0, 1, 2].map(() => {
      Array.from({ length: 12 }).forEach(() =>
        router.recordOutcome('vm0', { kind: 'failed' }, nowMs),
      );
      const { vms } = router.snapshot(nowMs) as { vms: { ejectedForMs: number }[] };
      const durationMs = Math.max(...vms.map(({ ejectedForMs }) => ejectedForMs));
      nowMs += durationMs;
      return durationMs;
    });
    expect(durationsMs).to.deep.equal([5000, 10_000, 20_000]);
  });

  it('guards against full load on a VM that is new or restarted', () => {
    const traffic = new Traffic(['a', 'a', 'a']);
    traffic.run(10_000);
    traffic.replaceList(['vm0', 'vm1', 'vm2', 'vm3'], ['a', 'a', 'a', 'a']);
    expect(count(traffic.run(1000), 'vm3')).to.be.within(1, 120);
    traffic.run(10_000);
    traffic.router.recordLink('vm0', false, traffic.nowMs);
    traffic.router.recordLink('vm0', true, traffic.nowMs);
    expect(count(traffic.run(1000), 'vm0')).to.be.within(1, 120);
  });

  it('guards against calls that queue at a VM at its rate limit while another VM has room', () => {
    const { router } = new Traffic(['a', 'a']);
    const load = { inFlight: 1, queued: 3, limit: 1, rateLimit: 10 };
    router.recordSent('vm0', 0);
    router.recordOutcome('vm0', { kind: 'answered', latencyMs: 1, load }, 0);
    router.recordSent('vm1', 0);
    router.recordOutcome('vm1', { kind: 'answered', latencyMs: 1_000, load: createLoad() }, 0);
    const choose = (nowMs: number): readonly (string | undefined)[] =>
      Array.from({ length: 100 }, () => router.choose(SERVICE, new Set(), nowMs)?.name);
    expect(new Set(choose(299))).to.deep.equal(new Set(['vm1']));
    expect(new Set(choose(300))).to.include('vm0');
    expect(router.findRateLimit('vm0')).to.equal(10);
  });

  it('guards against the selection of a leaving, excluded or unreachable VM', () => {
    const traffic = new Traffic(['a', 'a', 'b']);
    traffic.membership.markLeaving('vm0', '01');
    expect(
      traffic
        .run(500, new Set(['vm1']))
        .keys()
        .next().value,
    ).to.equal('vm2');
    traffic.router.recordLink('vm2', false, traffic.nowMs);
    expect([...traffic.run(400).keys()]).to.deep.equal(['vm1']);
    traffic.run(1000);
    expect(traffic.router.choose(SERVICE, new Set(['vm1']), traffic.nowMs)?.name).to.equal('vm2');
  });

  it('guards against a call that is refused although the broken link of the only remaining VM may work again', () => {
    const traffic = new Traffic(['a', 'a', 'b']);
    traffic.membership.markLeaving('vm0', '01');
    traffic.router.recordLink('vm2', false, traffic.nowMs);
    expect(traffic.router.choose(SERVICE, new Set(['vm1']), traffic.nowMs)?.name).to.equal('vm2');
    expect(traffic.router.choose(SERVICE, new Set(['vm1', 'vm2']), traffic.nowMs)).to.equal(
      undefined,
    );
  });
});
