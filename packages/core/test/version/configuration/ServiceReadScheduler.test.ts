import { expect } from 'chai';
import * as membership from '../../../src/process/membership/index.js';
import { ServiceReadScheduler } from '../../../src/version/configuration/ServiceReadScheduler.js';
import { TrackerFleet } from './TrackerFleet.js';

const SERVICE_READS_PER_SECOND = 2_000;
const FLEET_NODES = 18_000;
const WATCHERS = 46;
const LIST_WATCHES_PER_SECOND = 600;
const NODES_PER_DOMAIN = Math.ceil(FLEET_NODES / 23);
const CONTACT_TIMEOUT_MS = 30_000;
const STEP_MS = 250;
const RANDOM = new TrackerFleet(1, 1, 7);

describe('ServiceReadScheduler', () => {
  it('guards against a fleet that reads faster than the service allows when all nodes lose contact', () => {
    const nodes = Array.from({ length: FLEET_NODES }, (_, index) => createScheduler(index));
    const reads = new Map<number, number>();
    const steps = Array.from(
      { length: (3 * CONTACT_TIMEOUT_MS) / STEP_MS },
      (_, step) => step * STEP_MS,
    );
    steps.forEach((nowMs) => {
      const second = Math.floor(nowMs / 1_000);
      const due = nodes.filter((node) => isReadDue(node, nowMs)).length;
      reads.set(second, (reads.get(second) ?? 0) + due);
    });
    const total = [...reads.values()].reduce((sum, count) => sum + count, 0);
    const peak = Math.max(...reads.values());
    expect(total).to.be.at.least(FLEET_NODES);
    const others = WATCHERS + NODES_PER_DOMAIN + LIST_WATCHES_PER_SECOND;
    expect(peak + others).to.be.below(SERVICE_READS_PER_SECOND);
    expect(
      Math.min(...[...reads].filter(([, count]) => count > 0).map(([second]) => second)),
    ).to.equal(30);
  });

  it('guards against a large fleet that spreads its reads over as short a time as a small one', () => {
    const delays = [40, 18_000].map((count) => {
      const node = createScheduler(1, count);
      const steps = Array.from({ length: 400 }, (_, step) => step * STEP_MS);
      return steps.find((nowMs) => isReadDue(node, nowMs)) ?? Infinity;
    });
    expect(delays[0]).to.be.within(CONTACT_TIMEOUT_MS, CONTACT_TIMEOUT_MS + 2_000);
    expect(delays[1]).to.be.within(CONTACT_TIMEOUT_MS + 20_000, CONTACT_TIMEOUT_MS + 25_000);
  });

  it('guards against a read by a node that is in contact with its peers', () => {
    const node = createScheduler(1);
    for (let nowMs = 0; nowMs < 300_000; nowMs += STEP_MS) {
      if (nowMs % 5_000 === 0) {
        node.recordContact(nowMs);
      }
      expect(isReadDue(node, nowMs)).to.equal(false);
    }
  });
});

function isReadDue(node: ServiceReadScheduler, nowMs: number): boolean {
  return node.advance(nowMs).some(({ kind }) => kind === 'readService');
}

/** Creates the scheduler of one node. With `listed` VMs in its list, the delay of its read is half the spread. */
function createScheduler(index: number, listed = 0): ServiceReadScheduler {
  const self = { name: `vm-${index}`, service: 'shop', failureDomain: 'fd', incarnation: 'i' };
  const list = new membership.Membership(self);
  const vms = Array.from({ length: listed }, (_, vm) => ({
    ...self,
    name: `vm-${vm}`,
    failureDomain: `fd-${vm % 23}`,
    peerAddress: '',
    state: 'live' as const,
  }));
  list.replaceList(vms, 0);
  const random = listed === 0 ? RANDOM : { next: () => 0.5 };
  return new ServiceReadScheduler({ self, membership: list, random, startedMs: 0 });
}
