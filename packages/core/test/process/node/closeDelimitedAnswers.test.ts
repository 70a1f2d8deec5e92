import { expect } from 'chai';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';
import { FakeFleet } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';

const START_MS = 2_000;

/** Time in which a call and its retry end, in milliseconds. */
const CALL_MS = 500;

/** Seed with which the backend servers shed nothing. */
const SEED = 12;

describe('an answer whose end only the close of its connection tells', () => {
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

  function listKeptBodies(): readonly number[] {
    return fleet.listNodes().map((node) => node.bodyCount);
  }

  it('guards against a possibly truncated answer while another VM would give a proved one', () => {
    setFraming(['front-1']);
    const ends = Array.from({ length: 3 }, (_, index) => send('GET', `/front/read/${index}`));
    expect(ends.map((end) => end?.kind === 'answered' && end.closeDelimited)).to.deep.equal(
      ends.map(() => false),
    );
    expect(fleet.runs.some(({ vm }) => vm === 'front-1')).to.equal(true);
    expect(listKeptBodies()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against an answer that is thrown away because no VM proves the end', () => {
    setFraming(['front-1', 'front-2']);
    const end = send('GET', '/front/read/a');
    expect(end).to.include({ kind: 'answered', status: 200, closeDelimited: true });
    expect(fleet.runs).to.have.length(2);
    expect(listKeptBodies()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against an answer that is lost when the retry for a proved one fails', () => {
    setFraming(['front-1']);
    fleet.find('front-2').backend.crash();
    const ends = Array.from({ length: 4 }, (_, index) => send('GET', `/front/read/${index}`));
    expect(ends.map((end) => end?.kind)).to.deep.equal(ends.map(() => 'answered'));
    expect(listKeptBodies()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a kept answer without its body where the node next to the backend server is the entry', () => {
    setFraming(['front-1', 'front-2']);
    const ends = ['front-1', 'front-2'].flatMap((entry) =>
      ['a', 'b', 'c'].map((id) => send('GET', `/front/read/${id}`, undefined, entry)),
    );
    fleet.find('front-2').backend.crash();
    ends.push(...['d', 'e'].map((id) => send('GET', `/front/read/${id}`, undefined, 'front-1')));
    expect(fleet.listNodes().flatMap(({ faults }) => faults)).to.deep.equal([]);
    ends.forEach((end) => expect(end).to.include({ kind: 'answered', closeDelimited: true }));
    expect(ends.map((end) => (end?.kind === 'answered' ? end.body : ''))).to.not.include('');
    expect(listKeptBodies()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a kept success that the failure of the retry replaces', () => {
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
    expect(listKeptBodies()).to.deep.equal([0, 0, 0, 0]);
  });

  it('guards against a second run, and a stored answer that gets a length, where a call runs at most once', () => {
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
