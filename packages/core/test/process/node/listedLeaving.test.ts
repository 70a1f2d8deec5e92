import { expect } from 'chai';
import type { VmRecord } from '../../../src/process/membership/index.js';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';
import { FakeFleet, SESSION_VMS } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';

const START_MS = 2_000;

/** Number of simultaneous calls; more than the two backend servers run at the same time. */
const CALLS = 8;

/** Time until both backend servers run calls and other calls are queued. */
const QUEUED_MS = 4;

/** Time within which running calls end, so that queued ones could start. */
const LATER_MS = 1_000;

/** Seed with which the backend servers shed no calls. */
const SEED = 12;

const LEAVING_VM = 'front-1';

function listVms(state: 'leaving' | 'absent'): readonly VmRecord[] {
  return SESSION_VMS.filter(({ name }) => name !== LEAVING_VM || state === 'leaving').map((vm) => ({
    ...vm,
    peerAddress: '127.0.0.1:0',
    state: vm.name === LEAVING_VM ? 'leaving' : 'live',
  }));
}

describe('a VM that the list marks as leaving or omits', () => {
  (['leaving', 'absent'] as const).forEach((state) => {
    it(`guards against queued calls that start on a backend server after its VM has left (${state})`, () => {
      const fleet = new FakeFleet(SEED, buildTestBundle());
      const ends: RequestEnd[] = [];
      fleet.events.runUntil(START_MS);
      const headers = [['authorization', `Bearer ${ALBA_KEY}`]] as const;
      for (let index = 0; index < CALLS; index += 1) {
        fleet.request('deep-1', `/front/read/${index}`, 'GET', headers, (end) => ends.push(end));
      }
      fleet.events.runUntil(START_MS + QUEUED_MS);
      expect(fleet.runs.some(({ vm }) => vm === LEAVING_VM)).to.equal(true);
      fleet.listNodes().forEach((node) => node.receive({ kind: 'vmsListed', vms: listVms(state) }));
      fleet.events.runUntil(START_MS + QUEUED_MS + LATER_MS);
      const late = fleet.runs.filter(
        ({ vm, atMs }) => vm === LEAVING_VM && atMs > START_MS + QUEUED_MS,
      );
      expect(late).to.deep.equal([]);
      const told = ends.map((end) => (end.kind === 'refused' ? end.outcome : end.kind));
      expect(told.every((end) => end === 'answered' || end === 'notRun')).to.equal(true);
      expect(ends).to.have.length(CALLS);
    });
  });
});
