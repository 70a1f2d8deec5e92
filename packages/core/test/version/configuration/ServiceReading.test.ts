import { expect } from 'chai';
import * as membership from '../../../src/process/membership/index.js';
import { ServiceReading } from '../../../src/version/configuration/ServiceReading.js';
import { TrackerFleet } from './TrackerFleet.js';

const SERVICE_READS_PER_SECOND = 2_000;
const FLEET_NODES = 18_000;
const READERS = 46;
const NODES_PER_DOMAIN = Math.ceil(FLEET_NODES / 23);
const SILENCE_MS = 30_000;
const STEP_MS = 250;
const RANDOM = new TrackerFleet(1, 1, 7);

describe('ServiceReading', () => {
  it('guards against a fleet that reads faster than the service allows when all nodes fall silent', () => {
    const nodes = Array.from({ length: FLEET_NODES }, (_, index) => createReading(index));
    const reads = new Map<number, number>();
    const steps = Array.from({ length: (2 * SILENCE_MS) / STEP_MS }, (_, step) => step * STEP_MS);
    steps.forEach((nowMs) => {
      const second = Math.floor(nowMs / 1_000);
      const due = nodes.filter((node) => isReading(node, nowMs)).length;
      reads.set(second, (reads.get(second) ?? 0) + due);
    });
    const total = [...reads.values()].reduce((sum, count) => sum + count, 0);
    const peak = Math.max(...reads.values());
    expect(total).to.be.at.least(FLEET_NODES);
    expect(peak + READERS + NODES_PER_DOMAIN).to.be.below(SERVICE_READS_PER_SECOND);
    expect(
      Math.min(...[...reads].filter(([, count]) => count > 0).map(([second]) => second)),
    ).to.equal(30);
  });

  it('guards against a read by a node that hears its peers', () => {
    const node = createReading(1);
    for (let nowMs = 0; nowMs < 300_000; nowMs += STEP_MS) {
      if (nowMs % 5_000 === 0) {
        node.recordNews(nowMs);
      }
      expect(isReading(node, nowMs)).to.equal(false);
    }
  });
});

function isReading(node: ServiceReading, nowMs: number): boolean {
  return node.advance(nowMs).some(({ kind }) => kind === 'readService');
}

function createReading(index: number): ServiceReading {
  const self = { name: `vm-${index}`, service: 'shop', failureDomain: 'fd', incarnation: 'i' };
  return new ServiceReading({
    self,
    membership: new membership.Membership(self),
    random: RANDOM,
    startedMs: 0,
  });
}
