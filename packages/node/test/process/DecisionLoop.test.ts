import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { DecisionLoop } from '../../src/index.js';
import { waitFor } from '../support/waitFor.js';

/** Messages and commands in the order in which they were handled. */
type Step = string;

describe('the decision task', () => {
  let steps: Step[];
  let errors: string[];
  let task: DecisionLoop;

  beforeEach(() => {
    steps = [];
    errors = [];
    task = new DecisionLoop({
      decisions: {
        handle: (message) => {
          steps.push(message.kind);
          if (message.kind === 'serviceUnavailable') {
            throw new Error('fault of the decisions');
          }
          return message.kind === 'drainRequested' ? buildCommands() : [];
        },
        snapshot: () => ({}),
        measureAges: () => ({}),
        isServing: () => true,
        readCounters: () => ({}),
      },
      dispatch: (command) => {
        steps.push(command.kind);
        if (command.kind === 'readService') {
          task.publish({ kind: 'linkFailed', peer: 'a' });
          throw new Error('fault of the host');
        }
      },
      now: () => 0,
      log: { write: (_level, _part, text) => errors.push(text) },
    });
  });

  function buildCommands(): readonly node.NodeCommand[] {
    return [{ kind: 'readService' }, { kind: 'drained' }];
  }

  it('guards against a message that is handled before the commands of the one before', () => {
    task.publish({ kind: 'drainRequested' });
    expect(steps).to.deep.equal(['drainRequested', 'readService', 'drained', 'linkFailed']);
  });

  it('guards against a fault in one message that stops the handling of the others', () => {
    task.publish({ kind: 'serviceUnavailable' });
    task.publish({ kind: 'drainRequested' });
    expect(steps.at(-1)).to.equal('linkFailed');
    expect(errors).to.deep.equal(['exception in serviceUnavailable', 'exception in readService']);
    expect(task.failures).to.equal(2);
  });

  it('guards against decisions that get no ticks, or get them after the end', async () => {
    task.start();
    await waitFor('two ticks', () => steps.length >= 2);
    await task[Symbol.asyncDispose]();
    const { length } = steps;
    await new Promise((resolve) => {
      setTimeout(resolve, 120);
    });
    expect(steps.length).to.equal(length);
    expect(new Set(steps)).to.deep.equal(new Set(['tick']));
  });
});
