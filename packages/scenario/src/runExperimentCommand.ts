import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import {
  formatSummary,
  parseExperiment,
  runExperiment,
  type Policy,
} from './process/experiment/index.js';

export interface ExperimentCommandOptions {
  /** Folder for the JSON result files; `results` by default. */
  readonly folder?: string;
  /** Policies to run, in this order; by default `baseline`, then `tanagerpond`. */
  readonly policies?: readonly Policy[];
  readonly log?: (line: string) => void;
}

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_BAD_FILE = 2;

/**
 * Runs an experiment with each seed and policy and writes one JSON file, `NAME-POLICY-SEED.json`, for each run.
 * @param file - Path of the INI file.
 * @param options - Folder for the results, policies and log.
 * @returns 0 if every run ended, 1 if one failed or was interrupted, 2 if the file cannot be read or is not an
 * experiment.
 */
export async function runExperimentCommand(
  file: string,
  options: ExperimentCommandOptions = {},
): Promise<number> {
  const log = options.log ?? ((line: string) => process.stdout.write(`${line}\n`));
  const folder = options.folder ?? 'results';
  const text = await fs.readFile(file, 'utf8').catch(() => undefined);
  const parsed = text === undefined ? undefined : parseExperiment(text);
  if (parsed === undefined || parsed.isErr) {
    const problems = parsed?.isErr === true ? parsed.error : ['cannot be read'];
    problems.forEach((problem) => log(`${file}: ${problem}`));
    return EXIT_BAD_FILE;
  }
  const abort = new AbortController();
  const stop = () => abort.abort();
  process.once('SIGINT', stop);
  try {
    const experiment = parsed.value;
    for (let index = 0; index < experiment.experiment.seeds.length; index++) {
      const seed = experiment.experiment.seeds[index];
      const policies = options.policies ?? (['baseline', 'tanagerpond'] as const);
      for (let next = 0; next < policies.length && !abort.signal.aborted; next++) {
        const policy = policies[next];
        const run = await runExperiment(experiment, policy, seed, abort.signal);
        await writeResult(folder, `${path.basename(file, '.ini')}-${policy}-${seed}.json`, run);
        formatSummary(run).forEach(log);
      }
    }
    return abort.signal.aborted ? EXIT_FAILED : EXIT_OK;
  } catch (error) {
    log(`${file}: ${(error as Error).message}`);
    return EXIT_FAILED;
  } finally {
    process.off('SIGINT', stop);
  }
}

async function writeResult(folder: string, name: string, run: object): Promise<void> {
  await fs.mkdir(folder, { recursive: true });
  await fs.writeFile(path.join(folder, name), `${JSON.stringify(run, undefined, 2)}\n`);
}
