import { expect } from 'chai';
import type { NodeCommand } from '../../../src/process/node/index.js';
import { expectGolden } from '../../support/expectGolden.js';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';
import { describeStep } from './describeStep.js';
import { FakeFleet } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';

const START_MS = 2_000;

/** Seed with which the backend servers of these sessions shed no calls. */
const SEED = 12;

interface Session {
  readonly fleet: FakeFleet;
  readonly lines: string[];
  send(vm: string, method: string, target: string, ticket?: string): RequestEnd[];
}

function openSession(): Session {
  const lines: string[] = [];
  const fleet = new FakeFleet(SEED, buildTestBundle(), (...step) => {
    lines.push(...describeStep(...step));
  });
  fleet.events.runUntil(START_MS);
  lines.length = 0;
  const send = (vm: string, method: string, target: string, ticket?: string): RequestEnd[] => {
    const ends: RequestEnd[] = [];
    const headers: (readonly [string, string])[] = [
      ['authorization', `Bearer ${ALBA_KEY}`],
      ['x-request-id', target],
      ...(ticket === undefined ? [] : [['tanagerpond-ticket', ticket] as const]),
    ];
    fleet.request(vm, target, method, headers, (end) => ends.push(end));
    return ends;
  };
  return { fleet, lines, send };
}

function readTicket(ends: readonly RequestEnd[]): string {
  const [end] = ends;
  expect(end?.kind).to.equal('refused');
  return end?.kind === 'refused' ? (end.ticket ?? '') : '';
}

describe('golden sessions of node state machines', () => {
  it('guards against an unintended change of the path of a call through two services', async () => {
    const { fleet, lines, send } = openSession();
    const ends = send('deep-2', 'GET', '/front/child/a');
    fleet.events.runUntil(START_MS + 500);
    expect(ends.map(({ kind }) => kind)).to.deep.equal(['answered']);
    await expectGolden('chain-of-two-services', lines);
  });

  it('guards against a second run when the link breaks during a booking and the caller retries', async () => {
    const { fleet, lines, send } = openSession();
    const first = send('deep-1', 'POST', '/front/book/a');
    fleet.events.runUntil(START_MS + 20);
    const ticket = readTicket(first);
    const sent = send('deep-1', 'POST', '/front/book/a', ticket);
    fleet.events.runUntil(START_MS + 25);
    ['front-1', 'front-2'].forEach((vm) => fleet.links.reset('deep-1', vm));
    const again = send('deep-2', 'POST', '/front/book/a', ticket);
    fleet.events.runUntil(START_MS + 500);
    expect(fleet.runs).to.have.length(1);
    expect([...sent, ...again].map(({ kind }) => kind)).to.deep.equal(['answered', 'answered']);
    await expectGolden('booking-over-a-broken-link', lines);
  });

  it('guards against a second run when the node that granted the ticket is replaced during a booking', async () => {
    const { fleet, lines, send } = openSession();
    const first = send('deep-1', 'POST', '/front/book/a');
    fleet.events.runUntil(START_MS + 20);
    const ticket = readTicket(first);
    send('deep-1', 'POST', '/front/book/a', ticket);
    fleet.events.runUntil(START_MS + 25);
    ['front-1', 'front-2'].forEach((vm) => fleet.replace(vm, 100));
    fleet.events.runUntil(START_MS + 3_000);
    const again = send('deep-2', 'POST', '/front/book/a', ticket);
    fleet.events.runUntil(START_MS + 3_500);
    expect(fleet.runs).to.have.length(1);
    expect(again).to.deep.include.members([
      { kind: 'refused', reason: 'incarnationGone', outcome: 'unknown', ticket: undefined },
    ]);
    await expectGolden('booking-with-a-replaced-node', lines);
  });

  it('guards against calls that are aborted by a planned stop', async () => {
    const { fleet, lines, send } = openSession();
    const before = send('front-1', 'GET', '/front/slow/a');
    fleet.events.runUntil(START_MS + 100);
    ['front-1', 'front-2'].forEach((vm) => {
      if (fleet.runs[0]?.vm === vm) {
        fleet.find(vm).receive({ kind: 'drainRequested' });
      }
    });
    const after = send('front-1', 'GET', '/front/read/b');
    fleet.events.runUntil(START_MS + 4_000);
    expect([...before, ...after].map(({ kind }) => kind)).to.deep.equal(['answered', 'answered']);
    expect(lines.some((line) => line.includes('drained'))).to.equal(true);
    await expectGolden('planned-stop', lines);
  });

  it('guards against a request that crashes more than two backend servers', async () => {
    const { fleet, lines, send } = openSession();
    const ends = ['deep-1', 'deep-2', 'front-1', 'front-2', 'deep-1', 'deep-2'].flatMap((vm) => {
      const sent = send(vm, 'GET', '/front/poison/a');
      fleet.events.runUntil(fleet.events.nowMs + 1_000);
      return sent;
    });
    const crashes = fleet.listNodes().reduce((sum, node) => sum + node.backend.crashes, 0);
    expect(crashes).to.equal(2);
    expect(
      ends.slice(2).every((end) => end.kind === 'refused' && end.outcome === 'notRun'),
    ).to.equal(true);
    await expectGolden('poison-request', lines);
  });

  it('guards against a poison request that stays refused longer than the bundle declares', () => {
    const { fleet, send } = openSession();
    ['deep-1', 'deep-2'].forEach((vm) => {
      send(vm, 'GET', '/front/poison/a');
      fleet.events.runUntil(fleet.events.nowMs + 1_000);
    });
    const blocked = send('deep-1', 'GET', '/front/poison/a');
    fleet.events.runUntil(fleet.events.nowMs + 61_000);
    send('deep-1', 'GET', '/front/poison/a');
    fleet.events.runUntil(fleet.events.nowMs + 1_000);
    const crashes = fleet.listNodes().reduce((sum, node) => sum + node.backend.crashes, 0);
    expect(blocked.map((end) => end.kind === 'refused' && end.reason)).to.deep.equal([
      'suspectRefused',
    ]);
    expect(crashes).to.equal(3);
  });

  it('guards against log lines of one call that cannot be correlated, or that contain its key', () => {
    const logs: NodeCommand[] = [];
    const fleet = new FakeFleet(SEED, buildTestBundle(), (_nowMs, _vm, _message, commands) => {
      logs.push(...commands.filter(({ kind }) => kind === 'log'));
    });
    fleet.events.runUntil(START_MS);
    logs.length = 0;
    const headers = [['authorization', `Bearer ${ALBA_KEY}`]] as const;
    fleet.request('deep-1', '/front/poison/a', 'GET', headers, () => undefined);
    fleet.events.runUntil(START_MS + 500);
    const roots = logs.map((log) => (log.kind === 'log' ? log.fields?.root : undefined));
    expect(roots).to.have.length(2);
    expect(new Set(roots).size).to.equal(1);
    expect(JSON.stringify(logs)).not.to.include(ALBA_KEY);
  });
});
