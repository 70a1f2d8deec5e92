import { expect } from 'chai';
import { CancellableStarts, WorkQueue } from '../../../src/process/scheduling/index.js';
import { waitFor } from '../../support/waitFor.js';

describe('CancellableStarts', () => {
  let work: WorkQueue;
  let starts: CancellableStarts;
  let started: string[];

  beforeEach(() => {
    work = new WorkQueue({ now: () => 0, log: { write: () => undefined } });
    starts = new CancellableStarts(work);
    started = [];
  });

  function start(callId: string, peer?: string): void {
    starts.start(callId, () => started.push(callId), peer);
  }

  it('guards against an attempt or run that starts although its cancellation was read after what began it', async () => {
    start('a');
    start('b');
    expect(starts.cancel('a')).to.equal(true);
    await waitFor('the other start', () => started.length > 0);
    expect(started).to.deep.equal(['b']);
    expect(starts.cancel('b')).to.equal(false);
  });

  it('guards against an attempt that is sent on a new link after the old one was lost', async () => {
    start('a', 'lost');
    start('b', 'kept');
    starts.cancelPeer('lost');
    await waitFor('the other start', () => started.length > 0);
    expect(started).to.deep.equal(['b']);
  });

  it('guards against a cancelled call whose id starts another call', async () => {
    start('a');
    starts.cancel('a');
    start('a');
    await waitFor('an empty queue', () => work.size === 0);
    expect(started).to.deep.equal(['a']);
  });

  it('guards against a start within a turn that waits for another one, or a start behind new work', async () => {
    work.add(() => start('within'));
    work.add(() => started.push('new'));
    start('first');
    await waitFor('an empty queue', () => work.size === 0);
    expect(started).to.deep.equal(['first', 'within', 'new']);
  });
});
