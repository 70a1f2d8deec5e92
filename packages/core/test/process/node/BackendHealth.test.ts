import { expect } from 'chai';
import {
  NodeStateMachine,
  type NodeCommand,
  type NodeMessage,
} from '../../../src/process/node/index.js';
import { BackendHealth } from '../../../src/process/node/BackendHealth.js';
import { SeededSource } from '../../support/SeededSource.js';

const SELF = { name: 'deep-1', service: 'deep', failureDomain: 'east', incarnation: 'i1' };

describe('BackendHealth', () => {
  let machine: NodeStateMachine;

  beforeEach(() => {
    machine = new NodeStateMachine({
      self: SELF,
      random: new SeededSource(5),
      trustedKeys: [],
      startedMs: 0,
      drainLimitMs: 1_000,
    });
  });

  function findLines(nowMs: number, message: NodeMessage): readonly NodeCommand[] {
    return machine.handle(message, nowMs).filter(({ kind }) => kind === 'log');
  }

  function report(
    state: 'healthy' | 'draining' | 'unreachable',
    nowMs: number,
  ): readonly NodeCommand[] {
    return findLines(nowMs, { kind: 'backendHealth', state });
  }

  it('guards against a backend server that goes down or recovers without a log line that gives the durations', () => {
    expect(report('healthy', 1_000)).to.deep.equal([]);
    const answer = {
      status: 200,
      headers: [],
      bodySize: 0,
      framing: 'length',
      shed: false,
    } as const;
    const answered = { kind: 'answered', ...answer } as const;
    findLines(2_000, { kind: 'backendResult', callId: 'c1', result: answered });
    findLines(4_000, { kind: 'backendResult', callId: 'c2', result: { kind: 'broken' } });
    const line = { kind: 'log', part: 'backend' };
    expect(report('unreachable', 4_500)).to.deep.equal([
      {
        ...line,
        level: 'warn',
        text: 'backend server is down',
        fields: { former: 'up', formerMs: 3_500, lastAnswerAgeMs: 2_500 },
      },
    ]);
    expect(report('unreachable', 5_000)).to.deep.equal([]);
    expect(report('healthy', 9_500)).to.deep.equal([
      {
        ...line,
        level: 'info',
        text: 'backend server is up again',
        fields: { former: 'down', awayMs: 5_000, lastAnswerAgeMs: 7_500 },
      },
    ]);
  });

  it('guards against a backend server that stays marked as leaving after another start of it was listed', () => {
    const health = new BackendHealth();
    health.recordListed('born-1');
    health.recordListed(undefined);
    health.recordLeaving();
    expect(health.decide('healthy', 1_000)).to.equal('draining');
    expect(health.recordListed('born-1')).to.equal(false);
    expect(health.isLeaving).to.equal(true);
    expect(health.recordListed('born-2')).to.equal(true);
    expect(health.decide('healthy', 2_000)).to.equal('up');
  });

  it('guards against a leaving that health reports end, or never end where no list identifies the backend server', () => {
    const health = new BackendHealth();
    health.recordLeaving();
    expect(health.decide('healthy', 1_000)).to.equal('draining');
    health.decide('unreachable', 2_000);
    expect(health.decide('healthy', 3_000)).to.equal('up');
    expect(health.isLeaving).to.equal(false);
  });
});
