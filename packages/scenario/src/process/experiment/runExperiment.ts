import { caller, time } from '@tanagerpond/testkit';
import { Deployment, findDeploymentFolder, Fleet, type BackendTuning } from '../fleet/index.js';
import { buildCallerRoute } from '../run/index.js';
import { BaselineFleet } from './BaselineFleet.js';
import { computeResult, type RunResult } from './computeResult.js';
import type { Experiment, ExperimentLoad } from './experimentSchema.js';
import { MachineMeter, type MachineUse } from './MachineMeter.js';

/** `tanagerpond` runs the nodes; `baseline` runs plain forwarders without overload control in their place. */
export type Policy = 'tanagerpond' | 'baseline';

/** Result of one run, as written to its JSON file. */
export interface ExperimentRun extends RunResult {
  readonly policy: Policy;
  readonly seed: number;
  readonly machine: MachineUse;
  /** Number of non-repeatable requests that ran more than once. */
  readonly doubleRuns: number;
  /** Number of attempts that were reported as not run although a backend server ran them. */
  readonly notRunButRan: number;
}

/** Mean service time of routes for which the experiment gives none. */
const DEFAULT_WORK_MS = 10;

/**
 * Starts a fleet, runs an experiment on it once and stops the fleet.
 * @param experiment - Parsed experiment file.
 * @param policy - What forwards the requests between callers and backend servers.
 * @param seed - Seed of arrivals and service times.
 * @param signal - Ends the run early; its result is then meaningless.
 * @throws Error if a process does not start or the nodes do not become ready in time.
 */
export async function runExperiment(
  experiment: Experiment,
  policy: Policy,
  seed: number,
  signal: AbortSignal,
): Promise<ExperimentRun> {
  const deployment = await loadDeployment(experiment);
  const tuning = buildTuning(experiment, seed);
  await using fleet =
    policy === 'baseline'
      ? new BaselineFleet(deployment, tuning, experiment.experiment['baseline-retries'])
      : new Fleet({ deployment, tuning, hasRelays: false });
  await fleet.start();
  if (fleet instanceof Fleet) {
    await fleet.waitServing(signal);
  }
  const context = { experiment, deployment, entries: fleet.listEntries(), seed };
  const { surge, 'warm-up': warmUpMs, before, after } = experiment.experiment;
  const steady = startLoads(context, experiment.load, warmUpMs + before + surge + after, 0);
  await time.waitFor(warmUpMs, signal);
  const meter = await MachineMeter.start(fleet.listProcesses().flatMap(({ id }) => id ?? []));
  const beforeMs = performance.now();
  await time.waitFor(before, signal);
  const surgeMs = performance.now();
  const surging = startLoads(context, experiment.surge, surge, steady.length);
  const { slowdown } = experiment;
  if (slowdown !== undefined) {
    await fleet.setSlowdown(slowdown.service, slowdown.factor);
  }
  await time.waitFor(surgeMs + surge - performance.now(), signal);
  const afterMs = performance.now();
  if (slowdown !== undefined) {
    await fleet.setSlowdown(slowdown.service, 1);
  }
  await time.waitFor(after, signal);
  const endMs = performance.now();
  const machine = await meter.end();
  const loads = [...steady, ...surging].map(({ load }) => load);
  if (signal.aborted) {
    loads.forEach((load) => load.stop());
  }
  await Promise.all([...steady, ...surging].map(({ end }) => end));
  const rates = new Map([...deployment.bundle.workspaces].map(([name, { rate }]) => [name, rate]));
  const notRun = loads.flatMap((load) => load.records.flatMap((record) => record.notRunAttempts));
  const result = computeResult(experiment, { beforeMs, surgeMs, afterMs, endMs }, loads, rates);
  await Promise.all(loads.map((load) => load[Symbol.asyncDispose]()));
  return {
    policy,
    seed,
    ...result,
    machine,
    doubleRuns: fleet.runCollector.listDuplicateRuns().length,
    notRunButRan: fleet.runCollector.listMisreportedAttempts(notRun).length,
  };
}

async function loadDeployment(experiment: Experiment): Promise<Deployment> {
  const { deployment: name, ...options } = experiment.experiment;
  const deployment = await Deployment.load({
    folder: await findDeploymentFolder(name),
    vmsPerService: options['vms-per-service'],
    failureDomains: options['failure-domains'],
  });
  Object.entries(experiment.set).forEach(([section, values]) => {
    Object.entries(values).forEach(([key, value]) => deployment.setValue(section, key, value));
  });
  return deployment;
}

function buildTuning(experiment: Experiment, seed: number): BackendTuning {
  const { default: defaultWorkMs = DEFAULT_WORK_MS, ...work } = experiment.work;
  return { seed, defaultWorkMs, workMs: new Map(Object.entries(work)), coldMs: 0 };
}

interface LoadContext {
  readonly experiment: Experiment;
  readonly deployment: Deployment;
  readonly entries: readonly string[];
  readonly seed: number;
}

function startLoads(
  context: LoadContext,
  loads: Readonly<Record<string, ExperimentLoad>>,
  durationMs: number,
  seedOffset: number,
): readonly { load: caller.CallerLoad; end: Promise<void> }[] {
  return Object.entries(loads).map(([name, plan], index) => {
    const load = new caller.CallerLoad(
      caller.callerOptionsSchema.parse({
        name,
        seed: context.seed * 1_000 + seedOffset + index,
        workspace: plan.workspace,
        key: context.deployment.findKey(plan.workspace),
        entries: context.entries,
        routes: plan.routes.map((route) => buildCallerRoute(context.deployment, route)),
        ratePerSecond: plan.rate,
        durationMs,
        retries: plan.retries,
        retryDelayMs: plan['retry-delay'],
      }),
    );
    return { load, end: load.run() };
  });
}
