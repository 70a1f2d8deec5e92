import { expect } from 'chai';
import fc from 'fast-check';
import type { Frame } from '@tanagerpond/wire';
import { Outcome } from '@tanagerpond/wire';
import { CHUNK_BYTES, WINDOW_BYTES } from '../../src/connection/BodySender.js';
import { buildFrame } from '../../src/connection/index.js';
import { LinkCalls } from '../../src/connection/LinkCalls.js';
import { BodyStore } from '../../src/process/bodies/index.js';
import { Counters } from '../../src/process/metrics/index.js';
import type { AddWork, WorkTask } from '../../src/process/scheduling/index.js';

const BUDGET = 2 * 1024 * 1024;

const MAX_BODY = 1024 * 1024;

/** `LinkCalls` under test, with every frame that it wrote or delivered. */
class Fixture {
  readonly store = new BodyStore(BUDGET);

  readonly counters = new Counters();

  readonly written: Frame[] = [];

  readonly delivered: Frame[] = [];

  failed = false;

  nowMs = 0;

  /** Handles new work; undefined runs it at once. */
  addWork: AddWork | undefined;

  readonly calls: LinkCalls;

  constructor(opener: boolean, inlineBodies = false) {
    this.calls = new LinkCalls({
      peer: 'peer',
      opener,
      inlineBodies,
      store: this.store,
      maxBody: MAX_BODY,
      counters: this.counters,
      now: () => this.nowMs,
      addWork: (task) => (this.addWork ?? runNow)(task),
      write: (frame, done) => {
        this.written.push(frame);
        done?.();
      },
      deliver: (frame) => this.delivered.push(frame),
      fail: () => {
        this.failed = true;
      },
    });
  }

  /** Stores a body under a name and takes a reference to it, as a link does. */
  hold(name: string, bytes: Buffer): ReturnType<BodyStore['takeReference']> {
    const reservation = this.store.tryReserve(bytes.length);
    if (reservation !== undefined) {
      this.store.add(name, bytes, reservation);
    }
    return this.store.takeReference(name);
  }
}

function runNow(task: WorkTask): void {
  task(0);
}

function buildOpen(callId: string, bodySize: number): Frame {
  return buildFrame({ case: 'openCall', value: { callId, bodySize } });
}

function buildAnswer(callId: string, bodySize: number): Frame {
  return buildFrame({ case: 'answer', value: { callId, bodySize } });
}

/** Builds an `openCall` frame with an inline body. */
function buildInline(callId: string, bodySize: number, size = bodySize): Frame {
  return buildFrame({ case: 'openCall', value: { callId, bodySize, body: new Uint8Array(size) } });
}

function buildChunk(callId: string, offset: number, size: number): Frame {
  return buildFrame({
    case: 'bodyChunk',
    value: { callId, offset, data: new Uint8Array(size) },
  });
}

function listRefusals(frames: readonly Frame[]): readonly (string | number)[][] {
  return frames.flatMap(({ body }) =>
    body.case === 'refused' ? [[body.value.reason, body.value.outcome]] : [],
  );
}

describe('LinkCalls', () => {
  it('guards against accepting an answer, refusal or chunk for a call that is not on the stream', () => {
    const link = new Fixture(true);
    link.calls.receive(buildAnswer('other', 0));
    link.calls.receive(buildFrame({ case: 'refused', value: { callId: 'other' } }));
    link.calls.receive(buildChunk('other', 0, 5));
    expect(link.delivered).to.deep.equal([]);
    expect(link.counters.read()).to.deep.equal({
      link_dropped_answer: 1,
      link_dropped_refused: 1,
      link_dropped_chunk: 1,
    });
  });

  it('guards against delivering a second answer to one call', () => {
    const link = new Fixture(true);
    link.calls.send(buildOpen('c', 0));
    link.calls.receive(buildAnswer('c', 4));
    link.calls.receive(buildAnswer('c', 0));
    link.calls.receive(buildChunk('c', 0, 4));
    link.calls.receive(buildAnswer('c', 0));
    expect(link.delivered.length).to.equal(1);
    expect(link.store.takeReference('c')?.bytes.length).to.equal(4);
  });

  it('guards against accepting calls or answers in the wrong direction', () => {
    const opener = new Fixture(true);
    opener.calls.receive(buildOpen('c', 0));
    const acceptor = new Fixture(false);
    acceptor.calls.receive(buildAnswer('c', 0));
    acceptor.calls.send(buildAnswer('c', 0));
    expect([opener.delivered, acceptor.delivered, acceptor.written]).to.deep.equal([[], [], []]);
  });

  it('guards against a peer that accesses the body of another peer by its call id', () => {
    const link = new Fixture(false);
    const reservation = link.store.tryReserve(1);
    link.store.add('c', Buffer.from('x'), reservation ?? expect.fail(), 'another');
    link.calls.receive(buildOpen('c', 0));
    expect(link.delivered).to.deep.equal([]);
    expect(link.store.takeReference('c')?.bytes.toString()).to.equal('x');
    expect(listRefusals(link.written)).to.deep.equal([['requestMalformed', Outcome.NOT_RUN]]);
  });

  it('guards against buffering a body that exceeds the limit or the budget', () => {
    const link = new Fixture(false);
    link.calls.receive(buildOpen('large', MAX_BODY + 1));
    ['a', 'b', 'c'].forEach((callId) => link.calls.receive(buildOpen(callId, MAX_BODY)));
    expect(listRefusals(link.written)).to.deep.equal([
      ['bodyTooLarge', Outcome.NOT_RUN],
      ['buffersFull', Outcome.NOT_RUN],
    ]);
    expect(link.store.used).to.equal(BUDGET);
    link.calls.close();
    expect(link.store.used).to.equal(0);
  });

  it('guards against a call that never ends because its answer exceeds the limit', () => {
    const link = new Fixture(true);
    link.calls.send(buildOpen('c', 0));
    link.calls.receive(buildAnswer('c', MAX_BODY + 1));
    expect(listRefusals(link.delivered)).to.deep.equal([['answerTooLarge', Outcome.UNKNOWN]]);
    expect(link.written.at(-1)?.body.case).to.equal('cancelCall');
  });

  it('guards against running a call whose cancellation a late process has not read yet', () => {
    const link = new Fixture(false);
    const tasks: WorkTask[] = [];
    link.addWork = (task) => tasks.push(task);
    link.calls.receive(buildInline('c', 4));
    link.calls.receive(buildInline('d', 4));
    link.calls.receive(buildFrame({ case: 'cancelCall', value: { callId: 'c' } }));
    tasks.forEach((task) => task(0));
    const opened = link.delivered.map(({ body }) => body.case === 'openCall' && body.value.callId);
    expect(opened).to.deep.equal(['d']);
    expect(listRefusals(link.written)).to.deep.equal([['cancelled', Outcome.NOT_RUN]]);
    expect(link.store.used).to.equal(4);
  });

  it('guards against running a call that was cancelled before its body was complete', () => {
    const link = new Fixture(false);
    link.calls.receive(buildOpen('c', 10));
    link.calls.receive(buildChunk('c', 0, 5));
    link.calls.receive(buildFrame({ case: 'cancelCall', value: { callId: 'c' } }));
    link.calls.receive(buildChunk('c', 5, 5));
    expect(link.delivered).to.deep.equal([]);
    expect(listRefusals(link.written)).to.deep.equal([['cancelled', Outcome.NOT_RUN]]);
    expect(link.store.used).to.equal(0);
  });

  it('guards against a stalled body that keeps its budget', () => {
    const link = new Fixture(true);
    link.calls.send(buildOpen('c', 0));
    link.calls.receive(buildAnswer('c', 10));
    link.calls.advance(10_000);
    expect(listRefusals(link.delivered)).to.deep.equal([['linkLost', Outcome.UNKNOWN]]);
    expect(link.store.used).to.equal(0);
  });

  it('guards against a sender that exceeds the window or starves other calls', () => {
    const link = new Fixture(true);
    const large = link.hold('large', Buffer.alloc(WINDOW_BYTES + CHUNK_BYTES));
    const small = link.hold('small', Buffer.alloc(10));
    link.calls.send(buildOpen('large', WINDOW_BYTES + CHUNK_BYTES), large);
    link.calls.send(buildOpen('small', 10), small);
    const chunks = link.written.filter(({ body }) => body.case === 'bodyChunk');
    expect(chunks.length).to.equal(WINDOW_BYTES / CHUNK_BYTES + 1);
    const update = { callId: 'large', bytes: WINDOW_BYTES / 2 };
    link.calls.receive(buildFrame({ case: 'windowUpdate', value: update }));
    expect(link.written.at(-1)?.body.value).to.include({ callId: 'large', offset: WINDOW_BYTES });
    link.store.release('large');
    link.store.release('small');
    expect(link.store.used).to.equal(0);
  });

  it('guards against a small body in a frame of its own, or inline to a peer that does not accept inline bodies', () => {
    const cases = [
      [true, 10, ['openCall']],
      [true, CHUNK_BYTES, ['openCall']],
      [true, CHUNK_BYTES + 1, ['openCall', 'bodyChunk', 'bodyChunk']],
      [false, 10, ['openCall', 'bodyChunk']],
    ] as const;
    cases.forEach(([inlineBodies, size, kinds]) => {
      const link = new Fixture(true, inlineBodies);
      link.calls.send(buildOpen('c', size), link.hold('c', Buffer.alloc(size)));
      expect(link.written.map(({ body }) => body.case)).to.deep.equal(kinds);
      const first = link.written[0].body;
      const inline = first.case === 'openCall' ? first.value.body.length : -1;
      expect(inline).to.equal(kinds.length === 1 ? size : 0);
      link.store.release('c');
      expect(link.store.used).to.equal(0);
    });
  });

  it('guards against losing an inline body, or accepting one of the wrong size or beyond the limit or the budget', () => {
    const link = new Fixture(false, true);
    link.calls.receive(buildInline('a', 10));
    expect(link.delivered.length).to.equal(1);
    expect(link.store.takeReference('a')?.bytes.length).to.equal(10);
    link.calls.receive(buildInline('large', MAX_BODY + 1));
    ['b', 'c'].forEach((callId) => link.calls.receive(buildInline(callId, MAX_BODY)));
    expect(listRefusals(link.written)).to.deep.equal([
      ['bodyTooLarge', Outcome.NOT_RUN],
      ['buffersFull', Outcome.NOT_RUN],
    ]);
    expect(link.failed).to.equal(false);
    link.calls.receive(buildInline('d', 10, 9));
    expect(link.failed).to.equal(true);
    expect(link.delivered.length).to.equal(2);
  });

  it('guards against frame sequences that deliver a partial body or exceed the budget', () => {
    const callId = fc.constantFrom('a', 'b', 'c');
    const size = fc.constantFrom(0, 1, 100, CHUNK_BYTES, CHUNK_BYTES + 1, MAX_BODY, 0xffffffff);
    const frames = fc.oneof(
      fc.tuple(callId, size).map(([id, bytes]) => buildOpen(id, bytes)),
      fc.tuple(callId, size).map(([id, bytes]) => buildAnswer(id, bytes)),
      fc
        .tuple(callId, fc.constantFrom(1, 100, 101, MAX_BODY), fc.constantFrom(1, 100, MAX_BODY))
        .map(([id, bytes, sent]) => buildInline(id, bytes, sent)),
      fc
        .tuple(callId, fc.constantFrom(0, 1, 100, CHUNK_BYTES), fc.constantFrom(0, 1, 100, 16_384))
        .map(([id, offset, bytes]) => buildChunk(id, offset, bytes)),
      callId.map((id) => buildFrame({ case: 'cancelCall', value: { callId: id } })),
      callId.map((id) => buildFrame({ case: 'refused', value: { callId: id } })),
      callId.map((id) => buildFrame({ case: 'windowUpdate', value: { callId: id, bytes: 9 } })),
    );
    fc.assert(
      fc.property(fc.boolean(), fc.array(frames, { maxLength: 40 }), (opener, sequence) => {
        const link = new Fixture(opener);
        ['a', 'b'].filter(() => opener).forEach((id) => link.calls.send(buildOpen(id, 0)));
        sequence.forEach((frame) => {
          const before = link.delivered.length;
          link.calls.receive(frame);
          expect(link.store.used).to.be.at.most(BUDGET);
          link.delivered.slice(before).forEach(({ body }) => {
            if (body.case === 'openCall' || body.case === 'answer') {
              const kept = link.store.takeReference(body.value.callId);
              expect(kept?.bytes.length ?? 0).to.equal(body.value.bodySize);
              kept?.release();
            }
          });
        });
        link.calls.close();
        ['a', 'b', 'c'].forEach((id) => link.store.release(id));
        expect(link.store.used).to.equal(0);
      }),
      { seed: 4_711, numRuns: 500 },
    );
  });
});
