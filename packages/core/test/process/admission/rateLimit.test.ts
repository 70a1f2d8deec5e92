import { expect } from 'chai';
import { AdmissionQueue } from '../../../src/process/admission/index.js';
import { createItem } from './createItem.js';

const SLOTS = 94;

/** Calls a second that the backend server names, far fewer than its slots could run. */
const RATE_LIMIT = 15;

const RUN_MS = 300;

const PLAY_MS = 12_000;

const STEP_MS = 10;

const TICK_MS = 50;

/** Span over which the backend server counts, in milliseconds. */
const WINDOW_MS = 4_000;

describe('AdmissionQueue with a rate limit', () => {
  let queue: AdmissionQueue;

  beforeEach(() => {
    queue = new AdmissionQueue({ slots: SLOTS, queue: 200, random: { next: () => 0.5 } });
  });

  /** Ends the runs that are due, offers a call and, if one is due, ticks; returns the calls that start. */
  function step(nowMs: number, due: readonly string[]): readonly string[] {
    const item = createItem(`c${nowMs}`, { deadlineMs: nowMs + 5_000, arrivedMs: nowMs });
    const decisions = [
      ...due.flatMap((callId) => queue.finish(callId, 'answered', nowMs)),
      ...queue.offer(item, nowMs),
      ...(nowMs % TICK_MS === 0 ? queue.advance(nowMs) : []),
    ];
    return decisions.filter(({ kind }) => kind === 'run').map(({ callId }) => callId);
  }

  /** Offers a call every 10 ms and returns the times at which calls start, in milliseconds. */
  function play(): readonly number[] {
    const starts: number[] = [];
    const endsAt = new Map<number, readonly string[]>();
    for (let nowMs = 0; nowMs < PLAY_MS; nowMs += STEP_MS) {
      const started = step(nowMs, endsAt.get(nowMs) ?? []);
      endsAt.set(nowMs + RUN_MS, started);
      starts.push(...started.map(() => nowMs));
    }
    return starts;
  }

  function countMost(starts: readonly number[]): number {
    const counts = starts.map(
      (fromMs) => starts.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length,
    );
    return Math.max(...counts);
  }

  it('guards against more calls than the rate that the backend server names, or far fewer', () => {
    queue.setRateLimit(RATE_LIMIT, 0);
    const starts = play();
    expect(countMost(starts)).to.be.at.most((RATE_LIMIT * WINDOW_MS) / 1_000 + 5);
    expect(starts.length).to.be.at.least((0.9 * RATE_LIMIT * PLAY_MS) / 1_000);
  });

  it('guards against a restarted node that exceeds a rate limit which only its peers have heard', () => {
    queue.adoptRateLimit(RATE_LIMIT, 0);
    expect(countMost(play())).to.be.at.most((RATE_LIMIT * WINDOW_MS) / 1_000 + 5);
  });

  it('guards against the rate limit of a peer that has ended, or is none', () => {
    [0, -1, NaN, Infinity].forEach((rateLimit) => queue.adoptRateLimit(rateLimit, 0));
    queue.setRateLimit(undefined, 0);
    queue.adoptRateLimit(RATE_LIMIT, 0);
    expect(queue.readLoad(0).rateLimit).to.equal(0);
    expect(play().length).to.be.at.least((0.9 * PLAY_MS) / STEP_MS);
  });

  it('guards against a load that hides how little a limited backend server runs', () => {
    queue.setRateLimit(RATE_LIMIT, 0);
    play();
    expect(queue.readLoad(PLAY_MS)).to.include({ limit: 4, rateLimit: RATE_LIMIT });
  });
});
