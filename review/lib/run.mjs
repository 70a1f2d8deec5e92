/** Frame of a case: the record, the exit code, and the end of everything that was started. */
import { createWriteStream } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

/** Longest time of a case, in milliseconds. */
const LIMIT_MS = 112_000;

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;

/** Whether the disruption of the case takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Waits until a condition holds. */
export async function waitUntil(what, condition, limitMs = 15_000) {
  const untilMs = performance.now() + limitMs;
  while (!(await condition())) {
    if (performance.now() > untilMs) {
      throw new Error(`not within ${limitMs} ms: ${what}`);
    }
    await sleep(50);
  }
}

/** Rejects when the time of the case is over, or when it is told to stop. */
function createLimit() {
  return new Promise((_resolve, reject) => {
    setTimeout(() => reject(new Error('the time of the case is over')), LIMIT_MS).unref();
    ['SIGTERM', 'SIGINT'].forEach((name) =>
      process.once(name, () => reject(new Error(`stopped by ${name}`))),
    );
  });
}

/** Plays a case, and returns its exit code. */
async function judge(play, record, defer) {
  try {
    const breaks = await Promise.race([play({ record, defer }), createLimit()]);
    breaks.forEach((text) => record(`broken: ${text}`));
    record(breaks.length > 0 ? `the rule was broken ${breaks.length} times` : 'the rule held');
    return breaks.length > 0 ? BROKEN : HELD;
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    return NOT_RUN;
  }
}

/**
 * Runs a case. It gets `record`, which writes a line, and `defer`, which registers a clean-up, and returns the breaks of the
 * rule that it saw.
 */
export async function runCase(url, play) {
  const stream = createWriteStream(fileURLToPath(new URL('record.txt', url)));
  const startedMs = performance.now();
  const record = (text) =>
    stream.write(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${text}\n`);
  const cleanUps = [];
  record(`disruption: ${HAS_TROUBLE ? 'yes' : 'no'}`);
  process.exitCode = await judge(play, record, (cleanUp) => cleanUps.unshift(cleanUp));
  await cleanUps.reduce((before, cleanUp) => before.then(cleanUp), Promise.resolve());
  stream.end();
}
