import { expect } from 'chai';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';
import { FakeFleet } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';

const START_MS = 2_000;

/** Time within which a call and its retry end. */
const CALL_MS = 500;

/** Seed with which the backend servers shed no calls. */
const SEED = 12;

describe('answers delimited by the close of the connection', () => {
  let fleet: FakeFleet;

  beforeEach(() => {
    fleet = new FakeFleet(SEED, buildTestBundle());
    fleet.events.runUntil(START_MS);
  });

  function send(
    method: string,
    target: string,
    ticket?: string,
    entry = 'deep-1',
  ): RequestEnd | undefined {
    const ends: RequestEnd[] = [];
    const headers: (readonly [string, string])[] = [
      ['authorization', `Bearer ${ALBA_KEY}`],
      ['x-request-id', target],
      ...(ticket === undefined ? [] : [['tanagerpond-ticket', ticket] as const]),
    ];
    fleet.request(entry, target, method, headers, (end) => ends.push(end));
    fleet.events.runUntil(fleet.events.nowMs + CALL_MS);
    return ends[0];
  }

  function setFraming(vms: readonly string[]): void {
    vms.forEach((vm) => {
      fleet.find(vm).backend.framing = 'close';
    });
  }

  function listBodyCounts(): readonly number[] {
    return fleet.listNodes().map((node) => node.bodyCount);
  }

  it('guards against a possibly truncated answer although another VM can give a complete one', () => {
    setFraming(['front-1']);
    const ends = Array.from({ length: 3 }, (_, index) => send('GET', `/front/read/${index}`));
    expect(ends.map((end) => end?.kind === 'answered' && end.closeDelimited)).to.deep.equal(
      ends.map(() => false),
    );
    expect(fleet.runs.some(({ vm }) => vm === 'front-1')).to.equal(true);
    expect(listBodyCounts()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against an answer that is dropped because no VM can prove it complete', () => {
    setFraming(['front-1', 'front-2']);
    const end = send('GET', '/front/read/a');
    expect(end).to.include({ kind: 'answered', status: 200, closeDelimited: true });
    expect(fleet.runs).to.have.length(2);
    expect(listBodyCounts()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against an answer that is lost because the retry for a complete one fails', () => {
    setFraming(['front-1']);
    fleet.find('front-2').backend.crash();
    const ends = Array.from({ length: 4 }, (_, index) => send('GET', `/front/read/${index}`));
    expect(ends.map((end) => end?.kind)).to.deep.equal(ends.map(() => 'answered'));
    expect(listBodyCounts()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a kept answer that loses its body when the entry node calls its own backend server', () => {
    setFraming(['front-1', 'front-2']);
    const ends = ['front-1', 'front-2'].flatMap((entry) =>
      ['a', 'b', 'c'].map((id) => send('GET', `/front/read/${id}`, undefined, entry)),
    );
    fleet.find('front-2').backend.crash();
    ends.push(...['d', 'e'].map((id) => send('GET', `/front/read/${id}`, undefined, 'front-1')));
    expect(fleet.listNodes().flatMap(({ faults }) => faults)).to.deep.equal([]);
    ends.forEach((end) => expect(end).to.include({ kind: 'answered', closeDelimited: true }));
    expect(ends.map((end) => (end?.kind === 'answered' ? end.body : ''))).to.not.include('');
    expect(listBodyCounts()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a kept success that is replaced by the failure of the retry', () => {
    setFraming(['front-1']);
    fleet.find('front-2').backend.status = 500;
    const targets = ['a', 'b', 'c', 'd'].map((id) => `/front/read/${id}`);
    const ends = new Map(targets.map((target) => [target, send('GET', target)]));
    const retried = targets.filter(
      (target) => fleet.runs.filter(({ requestId }) => requestId === target).length === 2,
    );
    expect(retried).to.not.have.length(0);
    retried.forEach((target) =>
      expect(ends.get(target)).to.include({ status: 200, body: `answer to ${target}` }),
    );
    expect(listBodyCounts()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a second run, or a replayed answer with a length, of a call that runs at most once', () => {
    setFraming(['front-1', 'front-2']);
    const refused = send('POST', '/front/book/a');
    const ticket = refused?.kind === 'refused' ? refused.ticket : undefined;
    const first = send('POST', '/front/book/a', ticket);
    const again = send('POST', '/front/book/a', ticket);
    expect(first).to.include({ kind: 'answered', closeDelimited: true });
    expect(again).to.deep.equal(first);
    expect(fleet.runs).to.have.length(1);
  });
});
