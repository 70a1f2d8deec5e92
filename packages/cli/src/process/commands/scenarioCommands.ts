import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';

const MS_PER_SECOND = 1_000;

/**
 * Runs a scenario file on real processes.
 * @param file - Path of the scenario.
 * @param options - Seed of arrivals and service times.
 * @param terminal - Output for the report.
 */
export async function runScenario(
  file: string,
  options: { readonly seed?: unknown },
  terminal: Terminal,
): Promise<ExitCode> {
  const seed = readNumber('seed', options.seed, terminal);
  if (seed === undefined) {
    return EXIT.badInput;
  }
  const { runScenarioCommand } = await import('@tanagerpond/scenario');
  return runScenarioCommand(file, { ...seed, log: terminal.write });
}

/**
 * Runs an experiment file and its baseline, and writes one result file for each run.
 * @param file - Path of the experiment.
 * @param options - Folder for the result files.
 * @param terminal - Output for the report.
 */
export async function runExperiment(
  file: string,
  options: { readonly folder?: unknown },
  terminal: Terminal,
): Promise<ExitCode> {
  const { runExperimentCommand } = await import('@tanagerpond/scenario');
  const folder = options.folder === undefined ? {} : { folder: String(options.folder) };
  return runExperimentCommand(file, { ...folder, log: terminal.write });
}

/**
 * Starts an example deployment, sends a mixed load to it and stops it.
 * @param options - Name of the example, duration of the load in seconds, and seed.
 * @param terminal - Output for the report.
 */
export async function runDemo(
  options: { readonly example?: unknown; readonly seconds?: unknown; readonly seed?: unknown },
  terminal: Terminal,
): Promise<ExitCode> {
  const seed = readNumber('seed', options.seed, terminal);
  const seconds = readNumber('seconds', options.seconds, terminal);
  if (seed === undefined || seconds === undefined) {
    return EXIT.badInput;
  }
  const { runDemoCommand } = await import('@tanagerpond/scenario');
  const duration =
    seconds.seconds === undefined ? {} : { durationMs: seconds.seconds * MS_PER_SECOND };
  return runDemoCommand({
    ...(options.example === undefined ? {} : { example: String(options.example) }),
    ...duration,
    ...seed,
    log: terminal.write,
  });
}

/**
 * Validates a numeric option. Returns an object with the option as its only field, an empty object if the option is
 * absent, or undefined, after printing an error, if it is not a non-negative number.
 */
function readNumber<K extends string>(
  name: K,
  value: unknown,
  terminal: Terminal,
): Partial<Record<K, number>> | undefined {
  if (value === undefined) {
    return {};
  }
  if (typeof value === 'number' && value >= 0) {
    return { [name]: value } as Partial<Record<K, number>>;
  }
  terminal.writeError(`--${name}: expected a number`);
  return undefined;
}
