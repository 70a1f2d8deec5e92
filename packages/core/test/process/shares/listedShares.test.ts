import { expect } from 'chai';
import * as membership from '../../../src/process/membership/index.js';
import * as shares from '../../../src/process/shares/index.js';
import { createBundle } from './createBundle.js';
import { SeededRandom } from './SeededRandom.js';

const LEASE_MS = 1_000;

const TICK_MS = 50;

/** Nodes of the fleet, each in a failure domain of its own, so that no node leases the share of another. */
const NODES = 8;

/** Nodes of a larger fleet. */
const MANY_NODES = 18;

/** Time without a list after a restart, and time within which all nodes are then listed again, in milliseconds. */
const UNLISTED_MS = 2_000;
const RELISTED_MS = 1_500;

/** Schedules of entries that return at random times. */
const SCHEDULES = 20;

/** Time after which every node of the test has its share, in milliseconds. */
const SETTLED_MS = 4_000;

const RATE = 50;
const BURST = 50;

/** Requests a second of one workspace at each node, many times its share. */
const SENT_PER_S = 40;

/** Rate so high that the burst does not hide an excess of a few tenths, and requests a second at each node. */
const HIGH_RATE = 200;
const HIGH_SENT_PER_S = 200;

/** A node with its own view of the list of VMs. */
class ListedNode {
  readonly name: string;

  readonly #membership: membership.Membership;

  readonly #limiter: shares.RateLimiter;

  readonly grantedMs: number[] = [];

  readonly #sentPerS: number;

  #requests = 0;

  constructor(name: string, startedMs: number, rate = RATE, sentPerS = SENT_PER_S) {
    this.name = name;
    this.#sentPerS = sentPerS;
    const self = {
      name,
      service: 'desk',
      failureDomain: name,
      incarnation: `${name}-${startedMs}`,
    };
    this.#membership = new membership.Membership(self);
    this.#limiter = new shares.RateLimiter({
      self,
      membership: this.#membership,
      random: { next: () => 0.5 },
      startedMs,
    });
    const rates = [{ name: 'ferry', rate, burst: BURST }];
    this.#limiter.applyBundle(createBundle(rates, { shareLeaseMs: LEASE_MS }), startedMs);
  }

  list(names: readonly string[], nowMs: number): void {
    this.#membership.replaceList(names.map(createRecord), nowMs);
    this.#limiter.applyMembership(nowMs);
  }

  /** Sends as many requests as are due in one tick. Peers do not answer, so only the own share grants them. */
  advance(nowMs: number): void {
    const due = Math.floor((nowMs * this.#sentPerS) / 1_000);
    for (; this.#requests < due; this.#requests += 1) {
      if (this.#limiter.request('ferry', `${this.#requests}`, nowMs) === 'granted') {
        this.grantedMs.push(nowMs);
      }
    }
    this.#limiter.advance(nowMs).forEach((command) => {
      if (command.kind === 'granted') {
        this.grantedMs.push(nowMs);
      }
    });
  }
}

function createRecord(name: string): membership.VmRecord {
  return {
    name,
    service: 'desk',
    failureDomain: name,
    peerAddress: '10.0.0.1:7000',
    state: 'live',
    slots: 8,
  };
}

function createNodes(startedMs: number): readonly ListedNode[] {
  return Array.from({ length: NODES }, (_none, at) => new ListedNode(`vm-${at}`, startedMs));
}

function createManyNodes(startedMs: number): readonly ListedNode[] {
  return Array.from(
    { length: MANY_NODES },
    (_none, at) => new ListedNode(`vm-${at}`, startedMs, HIGH_RATE, HIGH_SENT_PER_S),
  );
}

/** Lists the nodes again one by one, each at its own time in milliseconds, as the informed nodes see it. */
function listWhenDue(
  nodes: readonly ListedNode[],
  informed: readonly ListedNode[],
  dueMs: readonly number[],
  nowMs: number,
): void {
  const isDue = dueMs.some((at) => at > nowMs - TICK_MS && at <= nowMs);
  if (!isDue) {
    return;
  }
  const names = nodes.filter((_node, at) => dueMs[at] <= nowMs).map(({ name }) => name);
  informed.forEach((node) => node.list(names, nowMs));
}

/** Plays the nodes from one time to another; `change` is called before each tick. */
function play(
  nodes: readonly ListedNode[],
  fromMs: number,
  toMs: number,
  change: (nowMs: number) => void = () => undefined,
): void {
  for (let nowMs = fromMs; nowMs < toMs; nowMs += TICK_MS) {
    change(nowMs);
    nodes.forEach((node) => node.advance(nowMs));
  }
}

/** Counts the most requests that were granted in a window, in excess of the rate and the burst; at least 0. */
function measureExcess(nodes: readonly ListedNode[], windowMs: number, rate = RATE): number {
  const all = nodes.flatMap(({ grantedMs }) => grantedMs).sort((left, right) => left - right);
  const counts = all.map((fromMs) => all.filter((at) => at >= fromMs && at < fromMs + windowMs));
  const most = Math.max(0, ...counts.map(({ length }) => length));
  return Math.max(0, most - ((rate * windowMs) / 1_000 + BURST));
}

describe('shares of a fleet that divides its rates by the list of VMs', () => {
  it('guards against restarted nodes that take more than the whole rate while VMs are listed one by one', () => {
    const nodes = createNodes(0);
    const names = nodes.map(({ name }) => name);
    play(nodes, 0, 9_000, (nowMs) => {
      // All entries are back within 1.5 s of the first one, after 3 s without a list.
      const listed = names.slice(0, Math.floor((nowMs - 3_000) / 180));
      if (nowMs >= 3_200 && nowMs < 3_000 + 180 * (NODES + 2)) {
        nodes.forEach((node) => node.list(listed, nowMs));
      }
    });
    expect(measureExcess(nodes, 5_000)).to.equal(0);
    expect(nodes.flatMap(({ grantedMs }) => grantedMs).length).to.be.above(RATE);
  });

  it('guards against a rate that is exceeded while a VM that is no longer listed still serves its callers', () => {
    const nodes = createNodes(0);
    const names = nodes.map(({ name }) => name);
    nodes.forEach((node) => node.list(names, 0));
    play(nodes, 0, SETTLED_MS);
    // Two VMs are removed from the list; one of them learns it 1 s late, and the other one not at all for 5 s.
    const left = names.slice(2);
    nodes.slice(2).forEach((node) => node.list(left, SETTLED_MS));
    play(nodes, SETTLED_MS, SETTLED_MS + 1_000);
    nodes[0].list(left, SETTLED_MS + 1_000);
    play(nodes, SETTLED_MS + 1_000, SETTLED_MS + 5_000);
    nodes[1].list(left, SETTLED_MS + 5_000);
    play(nodes, SETTLED_MS + 5_000, SETTLED_MS + 12_000);
    expect(measureExcess(nodes, 5_000)).to.equal(0);
  });

  it('guards against a rate that is exceeded while the entries of a large fleet return at random times', () => {
    for (let seed = 1; seed <= SCHEDULES; seed += 1) {
      const random = new SeededRandom(seed);
      const running = createManyNodes(0);
      const names = running.map(({ name }) => name);
      running.forEach((node) => node.list(names, 0));
      play(running, 0, SETTLED_MS);
      // Half of the fleet restarts while no VM is listed, and is listed again before the others, which serve on.
      const fromMs = SETTLED_MS;
      const restarted = createManyNodes(fromMs).slice(0, MANY_NODES / 2);
      const nodes = [...restarted, ...running.slice(MANY_NODES / 2)];
      const delaysMs = nodes.map(() => random.next() * RELISTED_MS).sort((one, two) => one - two);
      const dueMs = delaysMs.map((delayMs) => fromMs + UNLISTED_MS + delayMs);
      play(nodes, fromMs, fromMs + 9_000, (nowMs) => listWhenDue(nodes, restarted, dueMs, nowMs));
      const all = [...running, ...restarted];
      expect(measureExcess(all, 5_000, HIGH_RATE), `seed ${seed}`).to.equal(0);
    }
  }).timeout(60_000);

  it('guards against a large fleet whose rates stay unused for long after all of its VMs are listed again', () => {
    const nodes = createManyNodes(0);
    const names = nodes.map(({ name }) => name);
    play(nodes, 0, SETTLED_MS);
    nodes.forEach((node) => node.list(names, SETTLED_MS));
    play(nodes, SETTLED_MS, SETTLED_MS + 2_000);
    const granted = nodes.flatMap(({ grantedMs }) => grantedMs);
    expect(Math.min(...granted)).to.be.below(SETTLED_MS + 1_000);
    expect(granted.length).to.be.above(HIGH_RATE);
  });

  it('guards against a part of the rate that stays unused after VMs are gone', () => {
    const nodes = createNodes(0);
    const names = nodes.map(({ name }) => name);
    nodes.forEach((node) => node.list(names, 0));
    play(nodes, 0, SETTLED_MS);
    const rest = nodes.slice(4);
    rest.forEach((node) => node.list(names.slice(4), SETTLED_MS));
    play(rest, SETTLED_MS, SETTLED_MS + 12_000);
    const fromMs = SETTLED_MS + 7_000;
    const granted = rest.flatMap(({ grantedMs }) => grantedMs.filter((at) => at >= fromMs));
    expect(granted.length).to.be.within(0.95 * RATE * 5, 1.05 * RATE * 5);
  });

  it('guards against a node that the list does not name and that uses the whole rate', () => {
    const node = new ListedNode('vm-new', 0);
    node.list(['vm-0', 'vm-1'], 0);
    play([node], 0, 5_000);
    expect(node.grantedMs).to.deep.equal([]);
  });
});
