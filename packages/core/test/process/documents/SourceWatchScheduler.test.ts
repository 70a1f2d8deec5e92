import { expect } from 'chai';
import { SourceWatchScheduler } from '../../../src/process/documents/index.js';
import { Membership, type VmRecord } from '../../../src/process/membership/index.js';
import { SeededSource } from '../../support/SeededSource.js';

const TICK_MS = 50;

const DOMAINS = 6;

/** Nodes that watch the source in a fleet of any size above the smallest. */
const WATCHERS = 6;

interface Node {
  readonly scheduler: SourceWatchScheduler;
  reachable: boolean;
  watching: boolean;
  tries: number;
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

/** Fleet whose nodes compare ages with one random peer twice a second, as the relay does. */
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
      return { scheduler, reachable: true, watching: false, tries: 0 };
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

  #advance(node: Node): void {
    const decision = node.scheduler.advance(this.nowMs);
    if (decision !== undefined) {
      Object.assign(node, { watching: decision, tries: node.tries + Number(decision) });
    }
    if (node.watching) {
      node.scheduler.recordSource(node.reachable);
    }
    if (this.nowMs % 500 === 0) {
      const peer = this.nodes[Math.floor(this.#random.next() * this.nodes.length)];
      peer.scheduler.recordPeerAge(node.scheduler.measureAge(this.nowMs), this.nowMs);
    }
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
});
