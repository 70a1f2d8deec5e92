import { expect } from 'chai';
import { WorkQueue } from '../../../src/process/scheduling/index.js';
import { waitFor } from '../../support/waitFor.js';

/** Time that each task takes, in milliseconds; a turn ends after three of them. */
const TASK_MS = 4;

describe('WorkQueue', () => {
  let nowMs: number;
  let steps: string[];
  let errors: string[];
  let queue: WorkQueue;

  beforeEach(() => {
    nowMs = 0;
    steps = [];
    errors = [];
    queue = new WorkQueue({
      now: () => nowMs,
      log: { write: (_level, _part, text) => errors.push(text) },
    });
  });

  function add(name: string): void {
    queue.add((waitedMs) => {
      steps.push(`${name} ${waitedMs}`);
      nowMs += TASK_MS;
    });
  }

  /** Records each turn of the event loop until the queue is empty. */
  async function drain(): Promise<void> {
    const record = (): void => {
      steps.push('turn');
      if (queue.size > 0) {
        setImmediate(record);
      }
    };
    setImmediate(record);
    await waitFor('an empty queue', () => queue.size === 0);
  }

  it('guards against handling work before the sockets were read once more', async () => {
    add('a');
    await drain();
    expect(steps).to.deep.equal(['turn', 'a 0', 'turn']);
  });

  it('guards against work that keeps a late process from reading its sockets', async () => {
    ['a', 'b', 'c', 'd'].forEach(add);
    await drain();
    expect(steps).to.deep.equal(['turn', 'a 0', 'b 4', 'c 8', 'turn', 'd 12', 'turn']);
  });

  it('guards against an exception in one piece of work that stops the others', async () => {
    queue.add(() => {
      throw new Error('fault of a task');
    });
    add('a');
    await drain();
    expect(steps).to.include('a 0');
    expect(errors).to.deep.equal(['exception in work']);
    expect(queue.failures).to.equal(1);
  });
});
