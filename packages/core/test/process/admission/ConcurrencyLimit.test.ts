import { expect } from 'chai';
import type { AdmissionEnd } from '../../../src/process/admission/index.js';
import { ConcurrencyLimit } from '../../../src/process/admission/index.js';

const SLOTS = 80;

/** Runs calls back to back at the limit. */
class Load {
  readonly limit = new ConcurrencyLimit({ slots: SLOTS });

  nowMs = 0;

  /**
   * Keeps the limit busy.
   * @param durationMs - How long.
   * @param computeLatencyMs - Latency by the number of running calls.
   * @param pickEnd - End of the call with a number.
   */
  run(
    durationMs: number,
    computeLatencyMs: (running: number) => number,
    pickEnd: (call: number) => AdmissionEnd = () => 'answered',
  ): void {
    const endMs = this.nowMs + durationMs;
    for (let call = 0; this.nowMs < endMs; call++) {
      const inFlight = this.limit.read();
      const latencyMs = computeLatencyMs(inFlight);
      this.nowMs += latencyMs / inFlight;
      this.limit.record({ end: pickEnd(call), latencyMs, inFlight, queued: 5 }, this.nowMs);
      expect(this.limit.read()).to.be.within(1, SLOTS);
    }
  }
}

describe('ConcurrencyLimit', () => {
  it('guards against a cold backend server that gets its full load at once', () => {
    const load = new Load();
    expect(load.limit.read()).to.be.at.most(SLOTS / 8);
    load.run(1000, () => 10);
    expect(load.limit.read()).to.equal(SLOTS);
    load.limit.reset();
    expect(load.limit.read()).to.be.at.most(SLOTS / 8);
  });

  it('guards against a limit far above the knee of the latency', () => {
    const load = new Load();
    load.run(3000, (running) => 10 * Math.max(1, running / 10));
    expect(load.limit.read()).to.be.within(8, 40);
  });

  it('guards against a limit that collapses when the service is 5 times slower', () => {
    const load = new Load();
    load.run(2000, () => 10);
    load.run(10_000, () => 50);
    expect(load.limit.read()).to.be.at.least(SLOTS / 2);
    load.run(3000, () => 10);
    expect(load.limit.read()).to.equal(SLOTS);
  });

  it('guards against a backend server that is kept at a load that it sheds', () => {
    const load = new Load();
    load.run(1000, () => 10);
    load.run(
      2000,
      () => 10,
      () => (load.limit.read() > 20 ? 'shed' : 'answered'),
    );
    expect(load.limit.read()).to.be.at.most(35);
    load.run(2000, () => 10);
    expect(load.limit.read()).to.equal(SLOTS);
  });

  it('guards against single failing calls that lower the limit', () => {
    const load = new Load();
    load.run(
      3000,
      () => 10,
      (call) => (call % 50 === 0 ? 'failed' : 'answered'),
    );
    expect(load.limit.read()).to.equal(SLOTS);
  });

  it('guards against a limit above the slots of a new bundle', () => {
    const load = new Load();
    load.run(1000, () => 10);
    load.limit.configure(12);
    expect(load.limit.read()).to.equal(12);
  });
});
