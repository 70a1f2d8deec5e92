/** Holds a process to a share of a core as a quota: it runs until the quota of a period is used up, then not at all. */
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

/** Length of a period, and the interval of the checks in it, in milliseconds. */
const PERIOD_MS = 100;
const CHECK_MS = 2;

const NS_PER_MS = 1e6;
const MS_PER_TICK = 10;

/** Reads the processor time of a process, in milliseconds. */
async function readCpuMs(pid) {
  try {
    return Number((await readFile(`/proc/${pid}/schedstat`, 'utf8')).split(' ')[0]) / NS_PER_MS;
  } catch {
    const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1].split(' ');
    return (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK;
  }
}

/** Starts to hold a node to a share of a core, and returns a function that ends it and tells how often the quota was used up. */
export function holdToQuota(node, share) {
  const quotaMs = share * PERIOD_MS;
  const counts = { periods: 0, usedUp: 0 };
  let isHeld = true;
  const hold = async () => {
    while (isHeld && node.exit === undefined) {
      const startMs = performance.now();
      const baseMs = await readCpuMs(node.child.pid);
      let leftMs = PERIOD_MS;
      while (leftMs > 0 && (await readCpuMs(node.child.pid)) - baseMs < quotaMs) {
        await sleep(CHECK_MS);
        leftMs = PERIOD_MS - (performance.now() - startMs);
      }
      counts.periods += 1;
      if (leftMs > 0) {
        counts.usedUp += 1;
        node.signal('SIGSTOP');
        await sleep(leftMs);
        node.signal('SIGCONT');
      }
    }
  };
  const ended = hold().catch(() => undefined);
  return async () => {
    isHeld = false;
    await ended;
    return counts;
  };
}
