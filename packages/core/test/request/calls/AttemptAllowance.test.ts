import { expect } from 'chai';
import * as fc from 'fast-check';
import { AttemptAllowance } from '../../../src/request/calls/index.js';

const SEED = 20_261_204;

/** A call of a tree: how many of its attempts fail, whether a failed one loses its answer, and its child calls. */
interface CallPlan {
  readonly failures: number;
  readonly losesAnswers: boolean;
  readonly children: readonly CallPlan[];
}

const DEPTH = 4;

/** Trees of four levels with up to two children a call. */
function createPlans(depth: number): fc.Arbitrary<CallPlan> {
  return fc.record({
    failures: fc.nat(4),
    losesAnswers: fc.boolean(),
    children: depth === 1 ? fc.constant([]) : fc.array(createPlans(depth - 1), { maxLength: 2 }),
  });
}

type Attempts = Map<CallPlan, number>;

/** Runs a call and its retries as the sending node does, and returns the unspent units. */
function runCall(call: CallPlan, units: number, attempts: Attempts): number {
  const allowance = new AttemptAllowance(units);
  for (let attempt = 0; ; attempt += 1) {
    attempts.set(call, (attempts.get(call) ?? 0) + 1);
    const fails = attempt < call.failures;
    const granted = allowance.grantToChild(call.children.length > 0);
    const unspent = runChildren(call, granted, attempts);
    allowance.returnUnspent(granted, fails && call.losesAnswers ? 0 : unspent);
    if (!fails || !allowance.tryTake()) {
      return allowance.remaining;
    }
  }
}

function runChildren(call: CallPlan, units: number, attempts: Attempts): number {
  const allowance = new AttemptAllowance(units);
  call.children.forEach((child) => {
    const granted = allowance.grantToChild(true);
    allowance.returnUnspent(granted, runCall(child, granted, attempts));
  });
  return allowance.remaining;
}

describe('AttemptAllowance', () => {
  it('guards against retries that multiply at each hop: no call is attempted more than 1 + allowance times', () => {
    fc.assert(
      fc.property(createPlans(DEPTH), fc.nat(8), (root, units) => {
        const attempts: Attempts = new Map();
        runCall(root, units, attempts);
        expect(Math.max(...attempts.values())).to.be.at.most(1 + units);
      }),
      { seed: SEED, numRuns: 2_000 },
    );
  });

  it('guards against a child that returns more units than it was granted', () => {
    const allowance = new AttemptAllowance(3);
    const granted = allowance.grantToChild(true);
    allowance.returnUnspent(granted, 100);
    expect(allowance.remaining).to.equal(3);
  });
});
