import * as fs from 'node:fs/promises';
import * as protobuf from '@bufbuild/protobuf';
import * as wire from '@tanagerpond/wire';
import { expect } from 'chai';
import { createBundle } from './createBundle.js';
import type { EventQueue } from './EventQueue.js';
import { SeededRandom } from './SeededRandom.js';
import { ShareFleet } from './ShareFleet.js';

/**
 * To update the golden file, run `SHARES_RENEW_GOLDEN=1 npx mocha packages/core/test/process/shares/session.test.ts`.
 */
const GOLDEN = new URL('../../golden/share-session.txt', import.meta.url);

describe('golden session of the rate limiter', () => {
  it('guards against an unintended change of any message, decision or time', async () => {
    const session = runSession();
    if (process.env.SHARES_RENEW_GOLDEN === '1') {
      await fs.mkdir(new URL('.', GOLDEN), { recursive: true });
      await fs.writeFile(GOLDEN, session);
    }
    expect(session).to.equal(await fs.readFile(GOLDEN, 'utf8'));
  });
});

/**
 * Runs an owner, a holder and a borrower through startup wait, grant, renewal, subleases, return, loss of the holder
 * and expiry.
 */
function runSession(): string {
  const lines: string[] = [];
  const clock: { events?: EventQueue } = {};
  const record = (text: string): void => {
    lines.push(`${(clock.events?.nowMs ?? 0).toFixed(1).padStart(7)} ${text}\n`);
  };
  const fleet = new ShareFleet({
    random: new SeededRandom(1),
    bundle: createBundle([{ name: 'ferry', rate: 20, burst: 10 }], {
      maxVms: 3,
      shareLeaseMs: 600,
    }),
    network: (from, to, frame) => {
      const json = protobuf.toJson(wire.FrameSchema, frame);
      record(`${from} -> ${to} ${JSON.stringify(json, roundNumbers)}`);
      return [1];
    },
  });
  clock.events = fleet.events;
  const vms = ['vm-0', 'vm-1', 'vm-2'].map((name) => ({
    name,
    service: 'desk',
    failureDomain: name === 'vm-2' ? 'west' : 'east',
    peerAddress: '127.0.0.1:1',
    state: 'live' as const,
  }));
  vms.forEach((vm) => {
    fleet.start(vm.name, vm.failureDomain);
    fleet.replaceList(vm.name, vms);
  });
  const request = (name: string): void => {
    fleet.request(name, 'ferry', (outcome) => record(`${name} ${outcome} ferry`));
  };
  [1_300, 1_310, 1_320, 1_330, 1_340].forEach((atMs) =>
    fleet.events.schedule(atMs, () => request('vm-2')),
  );
  fleet.events.schedule(1_500, () => {
    const holder = vms.find(({ name }) => isHolder(fleet, name))?.name ?? '';
    record(`${holder} dies`);
    fleet.stop(holder);
  });
  fleet.events.schedule(1_510, () => request('vm-2'));
  fleet.events.run(2_600);
  const owners = vms.filter(({ name }) => fleet.nodes.get(name)?.alive);
  owners.forEach(({ name }) => record(`${name} holds ${JSON.stringify(showOwn(fleet, name))}`));
  return lines.join('');
}

function isHolder(fleet: ShareFleet, name: string): boolean {
  const node = fleet.nodes.get(name);
  return node?.self.failureDomain === 'east' && node.limiter.snapshot(node.tickMs).holder;
}

function showOwn(fleet: ShareFleet, name: string): object | undefined {
  const node = fleet.nodes.get(name);
  return node?.limiter.snapshot(node.tickMs).own;
}

/** Rounds numbers, so that rounding errors of sums do not change the golden file. */
function roundNumbers(_key: string, value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toFixed(6)) : value;
}
