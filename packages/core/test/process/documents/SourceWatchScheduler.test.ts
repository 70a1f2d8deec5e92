import { expect } from 'chai';
import { SourceWatchScheduler } from '../../../src/process/documents/index.js';
import { Membership, type VmRecord } from '../../../src/process/membership/index.js';
import { SeededSource } from '../../support/SeededSource.js';

const TICK_MS = 50;

const DOMAINS = 6;

/** Nodes that watch the source in a fleet of any size above the smallest. */
const WATCHERS = 6;

/** Shortest waiting time of a call, and time after its end until a silent call fails, in milliseconds. */
const MIN_WAIT_MS = 300;
const CALL_TIMEOUT_MS = 1_000;

interface Node {
  readonly scheduler: SourceWatchScheduler;
  readonly random: SeededSource;
  reachable: boolean;
  watching: boolean;
  meanWaitMs: number;
  /** Time at which the source ends the current call without changes. */
  callEndMs: number;
  /** Whether the connection of the current call is silent. */
  silent: boolean;
  tries: number;
  renewals: number;
}

function createVms(count: number): readonly VmRecord[] {
  return Array.from({ length: count }, (_none, index) => ({
    name: `vm-${index}`,
    service: 'shop',
    failureDomain: `domain-${index % DOMAINS}`,
    peerAddress: '10.0.0.1:7000',
    state: 'live',
    slots: 8,
  }));
}

/**
 * Fleet whose nodes compare ages with one random peer twice a second, as the relay does. A node that watches a source that it
 * reaches hears from it at the end of each call.
 */
class Fleet {
  readonly #random = new SeededSource(11);

  readonly nodes: readonly Node[];

  nowMs = 0;

  constructor(size: number) {
    const vms = createVms(size);
    this.nodes = vms.map(({ name, service, failureDomain }, index) => {
      const self = { name, incarnation: `${name}-1`, service, failureDomain };
      const membership = new Membership(self);
      membership.replaceList(vms, 0);
      const random = new SeededSource(index + 1);
      const scheduler = new SourceWatchScheduler({ self, membership, random, startedMs: 0 });
      const call = { callEndMs: 0, meanWaitMs: 0, silent: false };
      return {
        scheduler,
        random,
        reachable: true,
        watching: false,
        tries: 0,
        renewals: 0,
        ...call,
      };
    });
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (; this.nowMs < endMs; this.nowMs += TICK_MS) {
      this.nodes.forEach((node) => this.#advance(node));
    }
  }

  countWatchers(): number {
    return this.nodes.filter(({ watching }) => watching).length;
  }

  /** Makes the connections of all calls go silent; later ones work. */
  silence(): void {
    this.nodes.forEach((node) => Object.assign(node, { silent: true }));
  }

  /** Measures the largest age of the documents that a node of the fleet has, in milliseconds. */
  measureLargestAge(): number {
    return Math.max(...this.nodes.map(({ scheduler }) => scheduler.measureAge(this.nowMs)));
  }

  #advance(node: Node): void {
    const decision = node.scheduler.advance(this.nowMs);
    if (decision !== undefined) {
      const hasBegun = decision.enabled && !node.watching;
      const tries = node.tries + Number(hasBegun);
      Object.assign(node, { watching: decision.enabled, meanWaitMs: decision.meanWaitMs, tries });
      if (hasBegun && node.reachable) {
        this.#call(node, 0);
      }
    }
    if (node.scheduler.isOverdue(this.nowMs)) {
      Object.assign(node, { renewals: node.renewals + 1 });
      this.#call(node, 0);
    }
    if (node.watching) {
      this.#hear(node);
    }
    if (this.nowMs % 500 === 0) {
      const peer = this.nodes[Math.floor(this.#random.next() * this.nodes.length)];
      peer.scheduler.recordPeerAge(node.scheduler.measureAge(this.nowMs), this.nowMs);
    }
  }

  #hear(node: Node): void {
    if (!node.reachable) {
      node.scheduler.recordSource(false);
    } else if (!node.silent && this.nowMs >= node.callEndMs) {
      node.scheduler.recordSource(true);
      node.scheduler.recordConfirmed(this.nowMs);
      this.#call(node, MIN_WAIT_MS + node.random.next() * 2 * (node.meanWaitMs - MIN_WAIT_MS));
    } else if (node.silent && this.nowMs >= node.callEndMs + CALL_TIMEOUT_MS) {
      this.#call(node, 0);
    }
  }

  #call(node: Node, waitMs: number): void {
    Object.assign(node, { silent: false, callEndMs: this.nowMs + waitMs });
  }
}

describe('SourceWatchScheduler', () => {
  it('guards against watchers that grow with the fleet', () => {
    [60, 195].forEach((size) => {
      const fleet = new Fleet(size);
      fleet.run(30_000);
      expect(fleet.countWatchers(), String(size)).to.equal(WATCHERS);
      expect(Math.max(...fleet.nodes.map(({ tries }) => tries))).to.equal(1);
    });
  });

  it('guards against a small fleet whose few watchers are all cut off from the source', () => {
    const fleet = new Fleet(18);
    fleet.run(2_000);
    expect(fleet.countWatchers()).to.equal(18);
  });

  it('guards against a fleet that goes without the source after all of its watchers lost it', () => {
    const fleet = new Fleet(195);
    fleet.run(5_000);
    fleet.nodes
      .filter(({ watching }) => watching)
      .forEach((node) => {
        Object.assign(node, { reachable: false });
      });
    fleet.run(12_000);
    const found = fleet.nodes.some(({ watching, reachable }) => watching && reachable);
    expect(found).to.equal(true);
    const ages = fleet.nodes.map(({ scheduler }) => scheduler.measureAge(fleet.nowMs));
    expect(Math.max(...ages)).to.be.below(20_000);
  });

  it('guards against calls of the whole fleet at once while the source answers nobody', () => {
    const fleet = new Fleet(195);
    fleet.run(5_000);
    fleet.nodes.forEach((node) => Object.assign(node, { reachable: false }));
    fleet.run(30_000);
    const tries = fleet.nodes.reduce((sum, node) => sum + node.tries, 0);
    expect(tries).to.be.below(195 * 5);
    expect(fleet.countWatchers()).to.be.below(195 / 2);
  });

  it('guards against documents that count as current while the calls that would prove it are silent', () => {
    [3, 18, 195].forEach((size) => {
      const fleet = new Fleet(size);
      fleet.run(20_000);
      fleet.nodes.forEach((node) => Object.assign(node, { reachable: false }));
      const { nowMs } = fleet;
      const agesMs = fleet.nodes.map(({ scheduler }) => scheduler.measureAge(nowMs));
      fleet.run(3_000);
      fleet.nodes.forEach(({ scheduler }, at) => {
        expect(scheduler.measureAge(fleet.nowMs), String(size)).to.be.at.least(
          Math.min(agesMs[at], ...agesMs) + 2_900,
        );
      });
    });
  });

  it('guards against a fleet whose calls are all silent and that hears nothing new for 4 s', () => {
    [1, 3, 18].forEach((size) => {
      for (let atMs = 20_000; atMs < 24_000; atMs += 350) {
        const fleet = new Fleet(size);
        fleet.run(atMs);
        fleet.silence();
        const { nowMs } = fleet;
        fleet.run(4_000);
        const ages = fleet.nodes.map(({ scheduler }) => scheduler.measureAge(fleet.nowMs));
        expect(Math.min(...ages), `${size} nodes, silent from ${nowMs}`).to.be.below(4_000);
        expect(Math.max(...ages), `${size} nodes, silent from ${nowMs}`).to.be.below(4_500);
      }
    });
  });

  it('guards against connections that are given up although the source answers the fleet', () => {
    [1, 3, 18, 60, 195].forEach((size) => {
      const fleet = new Fleet(size);
      fleet.run(60_000);
      const renewals = fleet.nodes.reduce((sum, node) => sum + node.renewals, 0);
      expect(renewals, `${size} nodes`).to.be.at.most(size / 3);
    });
  });

  it('guards against a node without peers that hears nothing from the source for more than 5 s', () => {
    const fleet = new Fleet(18);
    const [alone] = fleet.nodes;
    fleet.run(10_000);
    for (let steps = 0; steps < 400; steps += 1) {
      const nowMs = fleet.nowMs + TICK_MS * steps;
      alone.scheduler.advance(nowMs);
      if (alone.scheduler.isOverdue(nowMs)) {
        alone.renewals += 1;
        alone.scheduler.recordConfirmed(nowMs);
      }
      expect(alone.scheduler.measureAge(nowMs)).to.be.below(5_000);
    }
    expect(alone.renewals).to.be.at.least(3);
  });
});
