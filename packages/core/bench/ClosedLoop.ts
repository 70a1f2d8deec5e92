import { AdmissionQueue } from '../src/process/admission/index.js';
import type { AdmissionDecision } from '../src/process/admission/index.js';
import { BackpressureTable } from '../src/process/backpressure/index.js';
import type { RandomSource } from '../src/process/time/index.js';
import { createRandom } from './createRandom.js';
import { EventHeap } from '../test/support/EventHeap.js';
import { BACKEND, CALLER, CAPACITY_PER_S, SLICE_MS } from './LoopSettings.js';
import type { LoopSettings, LoopSlice } from './LoopSettings.js';
import { SimulatedBackend } from './SimulatedBackend.js';

interface Request {
  readonly workspace: number;
  readonly priority: number;
  readonly bornMs: number;
  readonly slice: LoopSlice;
  attempts: number;
}

interface Attempt {
  readonly id: string;
  readonly request: Request;
  readonly entry: Entry;
  readonly deadlineMs: number;
  isOver: boolean;
}

interface Entry {
  readonly delayMs: number;
  readonly pressure: BackpressureTable;
}

const ENTRIES = 4;
const SERVICE = 'boleteria';
const TICK_MS = 50;

/** Longest pause of a caller before it retries. Callers ignore the retry time that comes with a refusal. */
const RETRY_PAUSE_MS = 20;

/**
 * Simulation of callers, entry nodes and one VM with its admission queue, with the feedback of admission levels between
 * them, in steps of 1 ms.
 */
export class ClosedLoop {
  readonly #settings: LoopSettings;

  readonly #random: RandomSource;

  readonly #events = new EventHeap();

  readonly #backend: SimulatedBackend;

  readonly #queue: AdmissionQueue;

  readonly #entries: readonly Entry[];

  readonly #attempts = new Map<string, Attempt>();

  readonly #slices: LoopSlice[] = [];

  #nowMs = 0;

  #count = 0;

  /** Admission queue of the VM, from which the concurrency limit can be read. */
  get queue(): AdmissionQueue {
    return this.#queue;
  }

  /** @param settings - Load and delays of the run. */
  constructor(settings: LoopSettings) {
    this.#settings = settings;
    this.#random = createRandom(settings.seed);
    this.#backend = new SimulatedBackend({ ...BACKEND, random: this.#random });
    this.#queue = new AdmissionQueue({ ...BACKEND, random: this.#random });
    const stepMs = (settings.longestDelayMs - 1.5) / (ENTRIES - 1);
    this.#entries = Array.from({ length: ENTRIES }, (_, index) => ({
      delayMs: 1.5 + index * stepMs,
      pressure: new BackpressureTable({ random: this.#random }),
    }));
  }

  /** Runs all phases, waits for the last requests to end, and returns the counts by time slice. */
  run(): readonly LoopSlice[] {
    this.#settings.phases.forEach((phase) => {
      this.#backend.slowdown = phase.slowdown;
      const endMs = this.#nowMs + phase.durationMs;
      while (this.#nowMs < endMs) {
        this.#advance(phase.rates);
      }
    });
    for (let left = CALLER.patienceMs + CALLER.timeoutMs; left > 0; left--) {
      this.#advance([]);
    }
    return this.#slices;
  }

  #advance(rates: readonly number[]): void {
    this.#nowMs += 1;
    rates.forEach((rate, workspace) => this.#beginRequests(rate, workspace));
    this.#events.runDue(this.#nowMs);
    this.#backend.advance(1);
    if (this.#nowMs % TICK_MS === 0) {
      this.#applyDecisions(this.#queue.advance(this.#nowMs));
    }
  }

  #beginRequests(rate: number, workspace: number): void {
    const mean = (rate * CAPACITY_PER_S) / 1000;
    const count = Math.floor(mean + this.#random.next());
    for (let index = 0; index < count; index++) {
      const priority = this.#pickClass();
      const slice = this.#findSlice();
      slice.begun[workspace] += 1;
      slice.begunByClass[priority] += 1;
      this.#try({ workspace, priority, bornMs: this.#nowMs, slice, attempts: 0 });
    }
  }

  #try(request: Request): void {
    const isOver = this.#nowMs - request.bornMs >= CALLER.patienceMs;
    if (isOver || request.attempts >= CALLER.attempts) {
      return;
    }
    Object.assign(request, { attempts: request.attempts + 1 });
    const entry = this.#entries[Math.floor(this.#random.next() * ENTRIES)];
    const { priority, workspace } = request;
    const decision = entry.pressure.decide([SERVICE], priority, this.#nowMs, `w${workspace}`);
    if (!decision.admitted) {
      this.#scheduleRetry(request);
      return;
    }
    this.#send(request, entry);
  }

  #send(request: Request, entry: Entry): void {
    this.#count += 1;
    const id = `call${this.#count}`;
    const deadlineMs = this.#nowMs + CALLER.timeoutMs;
    const attempt: Attempt = { id, request, entry, deadlineMs, isOver: false };
    this.#attempts.set(id, attempt);
    this.#events.schedule(this.#nowMs + entry.delayMs, () => this.#handleArrival(attempt));
    this.#events.schedule(deadlineMs, () => this.#handleTimeout(attempt));
  }

  #handleArrival(attempt: Attempt): void {
    this.#findSlice().arrivals += 1;
    if (!this.#settings.isProtected && this.#backend.size >= BACKEND.connections) {
      this.#refuse(attempt);
      return;
    }
    if (!this.#settings.isProtected) {
      this.#backend.begin(attempt.id, () => this.#answer(attempt));
      return;
    }
    const { workspace, priority } = attempt.request;
    const item = {
      callId: attempt.id,
      workspace: `w${workspace}`,
      weight: 1,
      priority,
      cost: 1,
      deadlineMs: attempt.deadlineMs - attempt.entry.delayMs,
      repeatable: priority > 0,
      suspect: false,
      arrivedMs: this.#nowMs,
    };
    this.#applyDecisions(this.#queue.offer(item, this.#nowMs));
  }

  #applyDecisions(decisions: readonly AdmissionDecision[]): void {
    decisions.forEach((decision) => {
      const attempt = this.#attempts.get(decision.callId);
      if (attempt === undefined) {
        throw new Error(`decision about unknown call ${decision.callId}`);
      }
      if (decision.kind === 'run') {
        this.#backend.begin(attempt.id, () => this.#finish(attempt));
        return;
      }
      if (decision.kind === 'preempt') {
        this.#backend.cancel(attempt.id);
        this.#applyDecisions(this.#queue.finish(attempt.id, 'cancelled', this.#nowMs));
      }
      this.#refuse(attempt);
    });
  }

  #finish(attempt: Attempt): void {
    this.#applyDecisions(this.#queue.finish(attempt.id, 'answered', this.#nowMs));
    this.#answer(attempt);
  }

  #answer(attempt: Attempt): void {
    this.#sendReply(attempt, () => {
      this.#findSlice().answers += 1;
      const { slice, workspace, priority } = attempt.request;
      slice.served[workspace] += 1;
      slice.servedByClass[priority] += 1;
    });
  }

  #refuse(attempt: Attempt): void {
    this.#sendReply(attempt, () => this.#scheduleRetry(attempt.request));
  }

  #sendReply(attempt: Attempt, end: () => void): void {
    this.#attempts.delete(attempt.id);
    const level = { service: SERVICE, ...this.#queue.readLevel(this.#nowMs) };
    this.#events.schedule(this.#nowMs + attempt.entry.delayMs, () => {
      if (this.#settings.isProtected) {
        attempt.entry.pressure.record([level], this.#nowMs);
      }
      if (!attempt.isOver) {
        Object.assign(attempt, { isOver: true });
        end();
      }
    });
  }

  #handleTimeout(attempt: Attempt): void {
    if (attempt.isOver) {
      return;
    }
    Object.assign(attempt, { isOver: true });
    this.#scheduleRetry(attempt.request);
    if (this.#settings.isProtected) {
      this.#events.schedule(this.#nowMs + attempt.entry.delayMs, () => this.#cancel(attempt));
    }
  }

  #cancel(attempt: Attempt): void {
    if (this.#queue.cancel(attempt.id, this.#nowMs) === 'running' && attempt.request.priority > 0) {
      this.#backend.cancel(attempt.id);
      this.#applyDecisions(this.#queue.finish(attempt.id, 'cancelled', this.#nowMs));
    }
    this.#attempts.delete(attempt.id);
  }

  #scheduleRetry(request: Request): void {
    const pauseMs = 1 + this.#random.next() * RETRY_PAUSE_MS;
    this.#events.schedule(this.#nowMs + pauseMs, () => this.#try(request));
  }

  #pickClass(): number {
    let left = this.#random.next();
    const index = this.#settings.classes.findIndex((fraction) => {
      left -= fraction;
      return left < 0;
    });
    return Math.max(0, index);
  }

  #findSlice(): LoopSlice {
    const index = Math.floor(this.#nowMs / SLICE_MS);
    while (this.#slices.length <= index) {
      const zeros = (): number[] => Array<number>(8).fill(0);
      this.#slices.push({
        startMs: this.#slices.length * SLICE_MS,
        begun: zeros(),
        served: zeros(),
        begunByClass: [0, 0, 0, 0],
        servedByClass: [0, 0, 0, 0],
        answers: 0,
        arrivals: 0,
      });
    }
    return this.#slices[index];
  }
}
