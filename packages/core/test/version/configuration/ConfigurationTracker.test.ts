import { expect } from 'chai';
import { signSample } from './sampleBundles.js';
import { loseNothing, TrackerFleet } from './TrackerFleet.js';

/** Time within which a published version must be active on all nodes. */
const SPREAD_LIMIT_MS = 14_000;

/** Creates a fleet of 40 VMs in 4 failure domains, with version 1 active on all of them. */
function createFleet(seed = 1): TrackerFleet {
  const fleet = new TrackerFleet(40, 4, seed);
  fleet.service = signSample(1);
  fleet.start();
  fleet.runFor(10_000);
  expect(fleet.isEverywhere(1)).to.equal(true);
  return fleet;
}

function listNodes(fleet: TrackerFleet) {
  return [...fleet.nodes.values()];
}

describe('ConfigurationTracker', () => {
  it('guards against a new version that reaches a node late, or that nodes read from the service instead of their peers', () => {
    const fleet = createFleet();
    const readsBefore = listNodes(fleet).map(({ reads }) => reads);
    fleet.publish(signSample(2));
    expect(fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS)).to.be.a('number');
    fleet.runFor(60_000);
    expect(listNodes(fleet).map(({ reads }) => reads)).to.deep.equal(readsBefore);
  });

  it('guards against a failure domain with too few or too many watchers of the service', () => {
    const fleet = createFleet();
    const watching = listNodes(fleet).filter(({ tracker }) =>
      JSON.stringify(tracker.snapshot(fleet.nowMs)).includes('"watching":true'),
    );
    const domains = watching.map(({ identity }) => identity.failureDomain).sort();
    expect(domains).to.deep.equal(['0', '0', '1', '1', '2', '2', '3', '3'].map((d) => `fd-${d}`));
  });

  it('guards against unchanged sections that are sent again', () => {
    const fleet = createFleet();
    fleet.log.length = 0;
    fleet.publish(signSample(2));
    fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
    const requests = fleet.log.filter((line) => line.includes('sectionRequest'));
    expect(requests.length).to.be.greaterThan(20);
    expect(requests.every((line) => line.endsWith('for 1 sections'))).to.equal(true);
  });

  it('guards against a start that fails because the service is down', () => {
    const fleet = createFleet();
    fleet.service = undefined;
    fleet.start('vm-7');
    expect(fleet.runUntil(() => fleet.nodes.get('vm-7')?.readyMs !== undefined, 2_000)).to.be.a(
      'number',
    );
    expect(fleet.nodes.get('vm-7')?.versions).to.deep.equal([1]);
  });

  it('guards against a node that serves without any version, or stops asking for one', () => {
    const fleet = new TrackerFleet(6, 3);
    fleet.start();
    fleet.runFor(60_000);
    expect(listNodes(fleet).some(({ tracker }) => tracker.isReady())).to.equal(false);
    expect(listNodes(fleet).every(({ reads }) => reads > 2)).to.equal(true);
    fleet.service = signSample(1);
    expect(fleet.runUntil(() => fleet.isEverywhere(1), 20_000)).to.be.a('number');
    fleet.runFor(100);
    expect(listNodes(fleet).every(({ tracker }) => tracker.isReady())).to.equal(true);
  });

  it('guards against a stale service whose old version replaces a newer one, or is served by a restarted node', () => {
    const fleet = createFleet();
    fleet.publish(signSample(2));
    fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
    fleet.publish(signSample(1));
    fleet.start('vm-0', 'vm-1', 'vm-2');
    const restarted = ['vm-0', 'vm-1', 'vm-2'].map((name) => fleet.nodes.get(name));
    fleet.runUntil(() => restarted.every((node) => node?.readyMs !== undefined), 20_000);
    expect(restarted.map((node) => node?.version)).to.deep.equal([2, 2, 2]);
    fleet.runFor(60_000);
    expect(fleet.isEverywhere(2)).to.equal(true);
    const orders = listNodes(fleet).map(({ versions }) => versions);
    expect(
      orders.every((seen) => seen.every((version, at) => version > (seen[at - 1] ?? 0))),
    ).to.equal(true);
  });

  it('guards against a starting node that serves the old version while it fetches the newest', () => {
    const fleet = createFleet();
    fleet.publish(signSample(2));
    fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
    fleet.publish(signSample(1));
    fleet.start('vm-9');
    const startedMs = fleet.nowMs;
    fleet.isLost = (_, to, { body }) =>
      to === 'vm-9' && body.case === 'sectionReply' && fleet.nowMs - startedMs < 4_000;
    const node = fleet.nodes.get('vm-9');
    fleet.runUntil(() => node?.readyMs !== undefined, 20_000);
    expect(node?.version).to.equal(2);
  });

  it('guards against a starting node that serves a stale version of the service before slow peers answer', () => {
    const fleet = createFleet();
    fleet.publish(signSample(2));
    fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
    fleet.publish(signSample(1));
    fleet.latencyMs = 300;
    fleet.start('vm-9');
    const node = fleet.nodes.get('vm-9');
    fleet.runUntil(() => node?.readyMs !== undefined, 20_000);
    expect(node?.versions).to.deep.equal([1, 2]);
  });

  it('guards against a starting node that serves a stale version of the service because the first peers do not answer', () => {
    const fleet = createFleet();
    fleet.publish(signSample(2));
    fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
    fleet.publish(signSample(1));
    fleet.start('vm-9');
    const startedMs = fleet.nowMs;
    fleet.isLost = (from, to) => [from, to].includes('vm-9') && fleet.nowMs - startedMs < 1_900;
    const node = fleet.nodes.get('vm-9');
    fleet.runUntil(() => node?.readyMs !== undefined, 20_000);
    expect(node?.versions).to.deep.equal([1, 2]);
  });

  it('guards against a starting node that stops asking peers while the service is down', () => {
    const fleet = createFleet();
    fleet.service = undefined;
    fleet.start('vm-9');
    fleet.isLost = (from, to) => from === 'vm-9' || to === 'vm-9';
    fleet.log.length = 0;
    fleet.runFor(20_000);
    expect(fleet.nodes.get('vm-9')?.readyMs).to.equal(undefined);
    const asked = fleet.log.filter((line) => /vm-9 .*manifestRequest/.test(line));
    expect(asked.length).to.be.at.least(30);
  });

  it('guards against a part of a partitioned fleet that keeps the old version after the partition has healed', () => {
    const fleet = createFleet();
    fleet.isLost = (from, to) => isLeft(from) !== isLeft(to);
    const envelope = fleet.service;
    fleet.service = undefined;
    fleet.run(
      'vm-0',
      fleet.nodes.get('vm-0')?.tracker.offerEnvelope(signSample(2), fleet.nowMs) ?? [],
    );
    fleet.runFor(20_000);
    const versions = listNodes(fleet).map(
      ({ identity, version }) => `${isLeft(identity.name)} ${version}`,
    );
    expect(new Set(versions)).to.deep.equal(new Set(['true 2', 'false 1']));
    fleet.service = envelope;
    fleet.isLost = loseNothing;
    expect(fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS)).to.be.a('number');
  });

  it('guards against a node that keeps the old version because messages were lost', () => {
    [1, 2, 3, 4, 5].forEach((seed) => {
      const fleet = createFleet(seed);
      fleet.isLost = () => fleet.next() < 0.3;
      fleet.publish(signSample(2));
      const tookMs = fleet.runUntil(() => fleet.isEverywhere(2), SPREAD_LIMIT_MS);
      expect(tookMs, `seed ${seed}`).to.be.a('number');
    });
  });

  it('guards against different bundles of one version on the nodes after two operators have published at the same time', () => {
    const fleet = createFleet();
    ['vm-3', 'vm-30'].forEach((name, index) => {
      const commands = fleet.nodes
        .get(name)
        ?.tracker.offerEnvelope(signSample(2, 500 + index), fleet.nowMs);
      fleet.run(name, commands ?? []);
    });
    fleet.runFor(SPREAD_LIMIT_MS);
    const shown = listNodes(fleet).map(
      ({ tracker }) => tracker.snapshot(fleet.nowMs) as { digest: string; conflicts: number },
    );
    expect(new Set(shown.map(({ digest }) => digest)).size).to.equal(1);
    expect(shown.some(({ conflicts }) => conflicts > 0)).to.equal(true);
  });

  it('guards against a process that resumes after a pause and accepts a revoked key until the next regular exchange', () => {
    const fleet = createFleet();
    const node = fleet.nodes.get('vm-5');
    fleet.nodes.delete('vm-5');
    fleet.publish(signSample(2));
    fleet.runFor(30_000);
    fleet.nodes.set('vm-5', node ?? expect.fail());
    expect(fleet.runUntil(() => fleet.isEverywhere(2), 200)).to.be.a('number');
  });
});

function isLeft(name: string): boolean {
  return Number(name.slice('vm-'.length)) < 20;
}
