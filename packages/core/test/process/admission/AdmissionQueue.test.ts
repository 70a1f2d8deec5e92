import { expect } from 'chai';
import type { AdmissionDecision } from '../../../src/process/admission/index.js';
import { AdmissionQueue } from '../../../src/process/admission/index.js';
import { createItem } from './createItem.js';

const HALF = { next: () => 0.5 };

function createQueue(slots: number, queue: number): AdmissionQueue {
  return new AdmissionQueue({ slots, queue, random: HALF });
}

function show(decisions: readonly AdmissionDecision[]): readonly string[] {
  return decisions.map((decision) =>
    decision.kind === 'refuse'
      ? `refuse ${decision.callId} ${decision.refusal.reason}`
      : `${decision.kind} ${decision.callId}`,
  );
}

describe('AdmissionQueue', () => {
  it('guards against a call that runs before a queued call of a more important class', () => {
    const queue = createQueue(1, 10);
    expect(show(queue.offer(createItem('first'), 0))).to.deep.equal(['run first']);
    queue.offer(createItem('photo', { priority: 3 }), 1);
    queue.offer(createItem('booking', { priority: 0 }), 2);
    expect(show(queue.finish('first', 'answered', 3))).to.deep.equal(['run booking']);
    expect(show(queue.finish('booking', 'answered', 4))).to.deep.equal(['run photo']);
  });

  it('guards against a full queue that refuses the most important call or a workspace within its fair share', () => {
    const queue = createQueue(1, 2);
    queue.offer(createItem('running', { repeatable: false }), 0);
    queue.offer(createItem('loud1', { workspace: 'loud', priority: 1 }), 1);
    queue.offer(createItem('loud2', { workspace: 'loud', priority: 1 }), 1);
    expect(show(queue.offer(createItem('quiet', { priority: 1 }), 2))).to.deep.equal([
      'refuse loud2 overloaded',
    ]);
    expect(show(queue.offer(createItem('photo', { priority: 3 }), 2))).to.deep.equal([
      'refuse photo overloaded',
    ]);
    const [refusal] = queue.offer(createItem('booking', { priority: 0 }), 2);
    expect(refusal).to.deep.include({
      kind: 'refuse',
      refusal: { reason: 'overloaded', outcome: 'notRun', retryAfterMs: 50 },
    });
  });

  it('guards against a call that runs although it cannot finish by its deadline', () => {
    const queue = createQueue(8, 10);
    queue.offer(createItem('sample'), 0);
    queue.finish('sample', 'answered', 100);
    queue.offer(createItem('other'), 100);
    const decisions = queue.offer(createItem('short', { deadlineMs: 150 }), 101);
    expect(show(decisions)).to.deep.equal(['refuse short deadlineExpired']);
  });

  it('guards against a service time estimate from a past slowdown that refuses every call forever', () => {
    const queue = createQueue(8, 10);
    queue.offer(createItem('slow'), 0);
    queue.finish('slow', 'answered', 5000);
    expect(show(queue.offer(createItem('short', { deadlineMs: 5300 }), 5100))).to.deep.equal([
      'run short',
    ]);
  });

  it('guards against preemption of a call that is not repeatable, or of the same class', () => {
    const queue = createQueue(1, 10);
    queue.offer(createItem('fixed', { priority: 3, repeatable: false }), 0);
    queue.offer(createItem('booking', { priority: 0, arrivedMs: 1 }), 1);
    expect(queue.advance(250)).to.deep.equal([]);
    queue.finish('fixed', 'answered', 260);
    queue.offer(createItem('second', { priority: 0, arrivedMs: 260 }), 260);
    expect(queue.advance(510)).to.deep.equal([]);
  });

  it('guards against a class 0 call that waits behind less important repeatable work', () => {
    const queue = createQueue(16, 10);
    queue.offer(createItem('old', { priority: 2 }), 0);
    queue.offer(createItem('young', { priority: 2 }), 1);
    expect(queue.offer(createItem('booking', { priority: 0, arrivedMs: 2 }), 2)).to.be.empty;
    expect(show(queue.advance(250))).to.deep.equal(['preempt young']);
    expect(queue.advance(251)).to.be.empty;
    expect(show(queue.finish('young', 'cancelled', 252))).to.deep.equal(['run booking']);
  });

  it('guards against a cancelled call that still runs and prevents preemption for other calls', () => {
    const queue = createQueue(16, 10);
    queue.offer(createItem('first', { priority: 0, repeatable: false }), 0);
    queue.offer(createItem('photo', { priority: 3 }), 0);
    expect(queue.cancel('first', 1)).to.equal('running');
    queue.offer(createItem('second', { priority: 0, arrivedMs: 2 }), 2);
    expect(show(queue.advance(250))).to.deep.equal(['preempt photo']);
  });

  it('guards against unbounded preemption of running work', () => {
    const queue = createQueue(40, 100);
    for (let call = 0; call < 5; call++) {
      queue.offer(createItem(`photo${call}`, { priority: 3 }), 0);
    }
    const preempted: string[] = [];
    for (let call = 0; call < 60; call++) {
      queue.offer(createItem(`booking${call}`, { priority: 0, arrivedMs: 0 }), 230);
      preempted.push(...show(queue.advance(230)).filter((line) => line.startsWith('preempt')));
    }
    expect(preempted.length).to.be.at.most(4);
  });

  it('guards against a suspect that runs beside other calls', () => {
    const queue = createQueue(80, 10);
    queue.offer(createItem('innocent'), 0);
    expect(queue.offer(createItem('suspect', { suspect: true }), 1)).to.be.empty;
    expect(queue.offer(createItem('next'), 2)).to.be.empty;
    expect(show(queue.finish('innocent', 'answered', 3))).to.deep.equal(['run suspect']);
    expect(queue.offer(createItem('booking', { priority: 0 }), 4)).to.be.empty;
    expect(show(queue.finish('suspect', 'answered', 5))).to.deep.equal(['run booking', 'run next']);
  });

  it('guards against calls that stay queued while the backend server is down or draining', () => {
    const queue = createQueue(8, 10);
    queue.setBackendState('down', 0);
    expect(queue.offer(createItem('waiting'), 1)).to.be.empty;
    expect(queue.advance(400)).to.be.empty;
    expect(show(queue.advance(600))).to.deep.equal(['refuse waiting noBackend']);
    expect(show(queue.offer(createItem('late'), 700))).to.deep.equal(['refuse late noBackend']);
    queue.setBackendState('up', 800);
    expect(show(queue.offer(createItem('back'), 801))).to.deep.equal(['run back']);
    queue.offer(createItem('queued'), 801);
    expect(show(queue.setBackendState('draining', 900))).to.deep.equal(['refuse queued leaving']);
    expect(show(queue.offer(createItem('new'), 901))).to.deep.equal(['refuse new leaving']);
  });

  it('guards against calls that wait in the queue without a time limit', () => {
    const queue = createQueue(1, 100);
    queue.offer(createItem('stuck', { repeatable: false }), 0);
    queue.offer(createItem('booking', { priority: 0, arrivedMs: 1 }), 1);
    queue.offer(createItem('photo', { priority: 3, arrivedMs: 300 }), 300);
    expect(show(queue.advance(450))).to.deep.equal(['refuse photo overloaded']);
    expect(show(queue.advance(500))).to.deep.equal(['refuse booking overloaded']);
  });

  it('guards against a cancelled call that is run later or frees its slot too early', () => {
    const queue = createQueue(1, 10);
    queue.offer(createItem('running'), 0);
    queue.offer(createItem('queued'), 1);
    expect(queue.cancel('queued', 2)).to.equal('dequeued');
    expect(queue.cancel('running', 2)).to.equal('running');
    expect(queue.cancel('gone', 2)).to.equal('absent');
    expect(queue.offer(createItem('next'), 3)).to.be.empty;
    expect(show(queue.finish('running', 'cancelled', 4))).to.deep.equal(['run next']);
  });
});
