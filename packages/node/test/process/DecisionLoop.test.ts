import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { DecisionLoop } from '../../src/index.js';
import { waitFor } from '../support/waitFor.js';

/** Kind of a message or command, in the order of handling. */
type Step = string;

describe('DecisionLoop', () => {
  let steps: Step[];
  let errors: string[];
  let loop: DecisionLoop;

  beforeEach(() => {
    steps = [];
    errors = [];
    loop = new DecisionLoop({
      engine: {
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
          loop.publish({ kind: 'linkFailed', peer: 'a' });
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

  it('guards against handling a message before the commands of the previous one are dispatched', () => {
    loop.publish({ kind: 'drainRequested' });
    expect(steps).to.deep.equal(['drainRequested', 'readService', 'drained', 'linkFailed']);
  });

  it('guards against an exception in one message or command that stops the handling of the others', () => {
    loop.publish({ kind: 'serviceUnavailable' });
    loop.publish({ kind: 'drainRequested' });
    expect(steps.at(-1)).to.equal('linkFailed');
    expect(errors).to.deep.equal(['exception in serviceUnavailable', 'exception in readService']);
    expect(loop.failures).to.equal(2);
  });

  it('guards against a late process that leaves no trace in the log', async () => {
    const lines: unknown[] = [];
    let nowMs = 0;
    const late = new DecisionLoop({
      engine: {
        handle: () => [],
        snapshot: () => ({}),
        measureAges: () => ({}),
        isServing: () => true,
        readCounters: () => ({}),
      },
      dispatch: () => undefined,
      now: () => nowMs,
      log: { write: (_level, part, text, fields) => lines.push([part, text, fields]) },
    });
    late.start();
    nowMs = 350;
    await waitFor('the log line', () => lines.length > 0);
    await late[Symbol.asyncDispose]();
    expect(lines).to.deep.equal([['decisions', 'process is late', { lateMs: 300 }]]);
  });

  it('guards against missing ticks, and against ticks after the end', async () => {
    loop.start();
    await waitFor('two ticks', () => steps.length >= 2);
    await loop[Symbol.asyncDispose]();
    const { length } = steps;
    await new Promise((resolve) => {
      setTimeout(resolve, 120);
    });
    expect(steps.length).to.equal(length);
    expect(new Set(steps)).to.deep.equal(new Set(['tick']));
  });
});
