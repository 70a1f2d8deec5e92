import { caller, time } from '@tanagerpond/testkit';
import { Deployment, findDeploymentFolder, Fleet } from './process/fleet/index.js';
import { findLongestChain } from './process/demo/findLongestChain.js';
import { buildDemoLoads } from './process/demo/buildDemoLoads.js';

export interface DemoOptions {
  /** Name of the example; `rodopa` by default. */
  readonly example?: string;
  /** Time for which load is sent, in milliseconds; 8,000 by default. */
  readonly durationMs?: number;
  readonly seed?: number;
  readonly log?: (line: string) => void;
}

/** Counts of the demo, printed as JSON in its last line. */
interface DemoCounts extends caller.LoadSummary {
  readonly sent: number;
  readonly ranTwice: number;
}

const DEFAULT_DURATION_MS = 8_000;
const VMS_PER_SERVICE = 2;
const FAILURE_DOMAINS = 2;
const WORK_MS = 8;
const REPORT_EVERY_MS = 1_000;
const EXIT_OK = 0;
const EXIT_FAILED = 1;

/**
 * Starts an example deployment with two VMs per service, sends a mixed load to it, partly through its longest chain of
 * calls, and stops all processes. SIGINT and SIGTERM end the load early.
 * @param options - Example, duration, seed and log.
 * @returns 0 if at least one answer was complete, none was wrong and no non-repeatable request ran twice; 1 otherwise.
 */
export async function runDemoCommand(options: DemoOptions = {}): Promise<number> {
  const log = options.log ?? ((line: string) => process.stdout.write(`${line}\n`));
  const abort = new AbortController();
  const stop = () => abort.abort();
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  try {
    const counts = await runDemo(options, log, abort.signal);
    log(JSON.stringify(counts));
    const isSound = counts.wrong === 0 && counts.ranTwice === 0 && counts.whole > 0;
    return isSound ? EXIT_OK : EXIT_FAILED;
  } catch (error) {
    log(`the demo failed: ${(error as Error).message}`);
    return EXIT_FAILED;
  } finally {
    process.off('SIGINT', stop);
    process.off('SIGTERM', stop);
  }
}

async function runDemo(
  options: DemoOptions,
  log: (line: string) => void,
  signal: AbortSignal,
): Promise<DemoCounts> {
  const example = options.example ?? 'rodopa';
  const seed = options.seed ?? 1;
  const deployment = await Deployment.load({
    folder: await findDeploymentFolder(example),
    vmsPerService: VMS_PER_SERVICE,
    failureDomains: FAILURE_DOMAINS,
  });
  deployment.setValue('fleet', 'max-vms', String(deployment.vms.length));
  const chain = findLongestChain(deployment.bundle);
  log(`${example}: ${deployment.vms.length} VMs, chain ${chain.services.join(' -> ')}`);
  const tuning = { seed, defaultWorkMs: WORK_MS, workMs: new Map(), coldMs: 0 };
  await using fleet = new Fleet({ deployment, tuning, hasRelays: false });
  log('starting the platform, the backend servers and the nodes');
  await fleet.start();
  log('waiting until every node serves');
  await fleet.waitServing(signal);
  const loads = buildDemoLoads(fleet, seed, options.durationMs ?? DEFAULT_DURATION_MS);
  const ended = Promise.all(loads.map((load) => load.run()));
  signal.addEventListener('abort', () => loads.forEach((load) => load.stop()));
  const reporting = new AbortController();
  const reports = reportProgress(loads, log, reporting.signal);
  await ended;
  reporting.abort();
  await reports;
  log('stopping every process');
  await Promise.all(loads.map((load) => load[Symbol.asyncDispose]()));
  const summary = caller.collectSummary(loads.flatMap((load) => load.records));
  const sent = loads.reduce((sum, load) => sum + load.sent, 0);
  return { sent, ...summary, ranTwice: fleet.runCollector.listDuplicateRuns().length };
}

async function reportProgress(
  loads: readonly caller.CallerLoad[],
  log: (line: string) => void,
  signal: AbortSignal,
): Promise<void> {
  let reported = 0;
  while (!signal.aborted) {
    await time.waitFor(REPORT_EVERY_MS, signal);
    const records = loads.flatMap((load) => load.records);
    const { whole, refusedNotRun, unknown, p99Ms } = caller.collectSummary(records);
    log(
      `ended ${records.length - reported} more: ${whole} whole, ${refusedNotRun} refused as not run, ` +
        `${unknown} unknown, p99 ${p99Ms.toFixed(1)} ms`,
    );
    reported = records.length;
  }
}
