import { expect } from 'chai';
import * as fc from 'fast-check';
import type { AdmissionDecision, AdmissionItem } from '../../../src/process/admission/index.js';
import { AdmissionQueue } from '../../../src/process/admission/index.js';
import { createRandom } from '../../../bench/createRandom.js';
import { createItem } from './createItem.js';

const RUNS = 2000;

const step = fc.record({
  kind: fc.constantFrom('offer', 'offer', 'offer', 'finish', 'finish', 'cancel', 'tick', 'backend'),
  gapMs: fc.integer({ min: 0, max: 30 }),
  priority: fc.integer({ min: 0, max: 3 }),
  workspace: fc.constantFrom('a', 'b', 'c'),
  patienceMs: fc.integer({ min: 1, max: 600 }),
  cost: fc.constantFrom(0.5, 1, 4),
  suspect: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
  repeatable: fc.boolean(),
  pick: fc.nat(),
  end: fc.constantFrom('answered' as const, 'shed' as const, 'failed' as const),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Applies random steps to a queue and checks every decision against a model of the queued and running calls. */
class Checker {
  readonly queue: AdmissionQueue;

  readonly #waiting = new Map<string, AdmissionItem>();

  readonly #running = new Map<string, AdmissionItem>();

  readonly #starts: { priority: number; order: number }[] = [];

  readonly #arrivals = new Map<string, number>();

  #order = 0;

  #nowMs = 0;

  #backend: 'up' | 'down' = 'up';

  readonly #slots: number;

  constructor(slots: number, capacity: number) {
    this.#slots = slots;
    this.queue = new AdmissionQueue({ slots, queue: capacity, random: createRandom(1) });
  }

  run(value: Step): void {
    this.#nowMs += value.gapMs;
    this.#order += 1;
    this.check(this.#apply(value));
    expect(this.queue.readLoad(this.#nowMs)).to.include({
      inFlight: this.#running.size,
      queued: this.#waiting.size,
    });
    expect(this.#running.size).to.be.at.most(this.#slots);
  }

  finishAll(): void {
    this.check(this.queue.setBackendState('up', this.#nowMs));
    for (let round = 0; round < 1000 && this.#running.size + this.#waiting.size > 0; round++) {
      this.#nowMs += 10;
      this.#order += 1;
      this.check(this.#finish(0, 'answered'));
      this.check(this.queue.advance(this.#nowMs));
    }
    expect([...this.#waiting.keys(), ...this.#running.keys()]).to.deep.equal([]);
  }

  check(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => {
      const waiting = this.#waiting.get(decision.callId);
      if (decision.kind === 'preempt') {
        expect(this.#running.get(decision.callId)?.repeatable).to.equal(true);
        return;
      }
      expect(waiting, `${decision.kind} of a call that is not queued`).to.not.equal(undefined);
      this.#waiting.delete(decision.callId);
      if (decision.kind === 'run' && waiting !== undefined) {
        this.#checkRun(waiting);
      } else if (waiting?.priority === 0) {
        this.#checkRefusedBooking(waiting);
      }
    });
  }

  #apply(value: Step): readonly AdmissionDecision[] {
    switch (value.kind) {
      case 'offer':
        return this.#offer(value);
      case 'finish':
        return this.#finish(value.pick, value.end);
      case 'cancel':
        return this.#cancel(value.pick);
      case 'backend':
        this.#backend = this.#backend === 'up' ? 'down' : 'up';
        return this.queue.setBackendState(this.#backend, this.#nowMs);
      default:
        return this.queue.advance(this.#nowMs);
    }
  }

  #offer(value: Step): readonly AdmissionDecision[] {
    const { priority, workspace, cost, suspect, repeatable } = value;
    const item = createItem(`call${this.#order}`, {
      ...{ priority, workspace, cost, suspect, repeatable },
      deadlineMs: this.#nowMs + value.patienceMs,
      arrivedMs: this.#nowMs,
    });
    this.#waiting.set(item.callId, item);
    this.#arrivals.set(item.callId, this.#order);
    return this.queue.offer(item, this.#nowMs);
  }

  #finish(pick: number, end: Step['end']): readonly AdmissionDecision[] {
    const callId = [...this.#running.keys()][pick % Math.max(1, this.#running.size)];
    if (callId === undefined) {
      return [];
    }
    this.#running.delete(callId);
    return this.queue.finish(callId, end, this.#nowMs);
  }

  #cancel(pick: number): readonly AdmissionDecision[] {
    const callId = [...this.#waiting.keys()][pick % Math.max(1, this.#waiting.size)];
    if (callId !== undefined) {
      expect(this.queue.cancel(callId, this.#nowMs)).to.equal('dequeued');
      this.#waiting.delete(callId);
    }
    return [];
  }

  #checkRun(item: AdmissionItem): void {
    const higher = [...this.#waiting.values()].filter((other) => other.priority < item.priority);
    expect(higher.map((other) => other.callId)).to.deep.equal([]);
    const isAlone = item.suspect || [...this.#running.values()].some((other) => other.suspect);
    expect(isAlone && this.#running.size > 0, 'suspect beside another call').to.equal(false);
    expect(item.deadlineMs).to.be.greaterThan(this.#nowMs);
    this.#running.set(item.callId, item);
    this.#starts.push({ priority: item.priority, order: this.#order });
  }

  #checkRefusedBooking(item: AdmissionItem): void {
    const arrived = this.#arrivals.get(item.callId) ?? 0;
    const lower = this.#starts.filter((start) => start.priority > 0 && start.order >= arrived);
    expect(lower, `${item.callId} was shed after less important work`).to.deep.equal([]);
  }
}

describe('AdmissionQueue with random schedules', () => {
  it('guards against a class 0 call that is shed after less important work has started, and against lost calls', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 6 }),
        fc.integer({ min: 1, max: 6 }),
        fc.array(step, { minLength: 1, maxLength: 80 }),
        (slots, capacity, steps) => {
          const checker = new Checker(slots, capacity);
          steps.forEach((value) => checker.run(value));
          checker.finishAll();
        },
      ),
      { numRuns: RUNS, seed: 20261204 },
    );
  });
});
