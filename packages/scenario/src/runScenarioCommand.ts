import * as fs from 'node:fs/promises';
import { parseScenario, ScenarioError } from './process/language/index.js';
import { ScenarioRunner } from './process/run/index.js';

export interface ScenarioCommandOptions {
  /** Seed of arrivals and service times; 1 by default. */
  readonly seed?: number;
  /** Receives the lines of the report. Standard output is the default. */
  readonly log?: (line: string) => void;
}

const EXIT_OK = 0;
const EXIT_FAILED = 1;
/** The file cannot be read or parsed, and nothing has been run. */
const EXIT_BAD_SCENARIO = 2;

/**
 * Runs a scenario file on real processes and stops all of them at the end, also after an error or an interrupt.
 * @param file - Path of the scenario.
 * @param options - Seed and log.
 * @returns 0 if every expectation held, 1 if a statement failed, 2 if the file cannot be read or is not a scenario.
 */
export async function runScenarioCommand(
  file: string,
  options: ScenarioCommandOptions = {},
): Promise<number> {
  const log = options.log ?? ((line: string) => process.stdout.write(`${line}\n`));
  const text = await readText(file);
  if (text === undefined) {
    log(`${file}: cannot be read`);
    return EXIT_BAD_SCENARIO;
  }
  const statements = parseScenario(file, text);
  if (statements.isErr) {
    log(statements.error.message);
    return EXIT_BAD_SCENARIO;
  }
  await using runner = new ScenarioRunner({ file, seed: options.seed ?? 1, log });
  const stop = () => runner.stop();
  process.once('SIGINT', stop);
  process.once('SIGTERM', stop);
  try {
    await runner.run(statements.value);
    return EXIT_OK;
  } catch (error) {
    log(error instanceof ScenarioError ? `FAILED ${error.message}` : `FAILED ${String(error)}`);
    return EXIT_FAILED;
  } finally {
    process.off('SIGINT', stop);
    process.off('SIGTERM', stop);
  }
}

async function readText(file: string): Promise<string | undefined> {
  try {
    return await fs.readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}
