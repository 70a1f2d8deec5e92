import { Writable } from 'node:stream';
import { expect } from 'chai';
import { createLogger } from '../../src/index.js';

describe('createLogger', () => {
  it('guards against formatting lines that are below the level or dropped by the stream', () => {
    const written: string[] = [];
    let isFull = false;
    const stream = new Writable({
      write(chunk: Buffer, _encoding, done) {
        written.push(String(chunk));
        done();
      },
    });
    const log = createLogger({ level: 'info', stream, dropIfFull: () => isFull, now: () => 0 });
    log.write('debug', 'caller', 'not written');
    log.write('info', 'caller', 'written');
    isFull = true;
    log.write('info', 'caller', 'left out');
    isFull = false;
    log.setLevel('debug');
    log.write('debug', 'caller', 'written too');
    expect(written.map((line) => (JSON.parse(line) as { message: string }).message)).to.deep.equal([
      'caller: written',
      'caller: written too',
    ]);
  });

  it('guards against computing the fields of a line that is not written', () => {
    const written: string[] = [];
    let isFull = true;
    const log = createLogger({
      level: 'info',
      stream: new Writable({
        write: (chunk: Buffer, _encoding, done) => {
          written.push(String(chunk));
          done();
        },
      }),
      dropIfFull: () => isFull,
      now: () => 0,
    });
    let calls = 0;
    const readFields = (): { readonly listAgeMs: number } => {
      calls += 1;
      return { listAgeMs: 40 };
    };
    log.write('info', 'caller', 'left out', readFields);
    isFull = false;
    log.write('debug', 'caller', 'below the level', readFields);
    expect(calls).to.equal(0);
    log.write('info', 'caller', 'written', readFields);
    expect(calls).to.equal(1);
    expect(JSON.parse(written[0])).to.include({ message: 'caller: written', listAgeMs: 40 });
  });

  it('guards against a failure that floods the log, and against repetitions that are not reported', () => {
    const lines: Record<string, unknown>[] = [];
    let nowMs = 0;
    const log = createLogger({
      level: 'info',
      stream: new Writable({
        write: (chunk: Buffer, _encoding, done) => {
          lines.push(JSON.parse(chunk.toString()) as Record<string, unknown>);
          done();
        },
      }),
      now: () => nowMs,
    });
    log.write('debug', 'link', 'not written');
    log.write('info', 'link', 'written');
    log.write('info', 'link', 'written');
    [0, 5_000, 9_999, 10_000, 10_001].forEach((timeMs) => {
      nowMs = timeMs;
      log.write('warn', 'link', 'peer link is down', { peer: 'a' });
    });
    log.write('warn', 'caller', 'peer link is down');
    expect(lines.map(({ message, repeated }) => [message, repeated])).to.deep.equal([
      ['link: written', undefined],
      ['link: written', undefined],
      ['link: peer link is down', undefined],
      ['link: peer link is down', 2],
      ['caller: peer link is down', undefined],
    ]);
    expect(lines[2]).to.include({ level: 'warn', peer: 'a' });
  });
});
