import { time, type caller } from '@tanagerpond/testkit';
import { Deployment, findDeploymentFolder, Fleet, type BackendTuning } from '../fleet/index.js';
import { ScenarioError, type Action, type OfKind, type Statement } from '../language/index.js';
import {
  describeAdmission,
  describeViolations,
  describeLoads,
  describeOutput,
} from './describeLoads.js';
import { measureValue } from './measureValue.js';
import { runStatement } from './runStatement.js';
import type { ScenarioState } from './ScenarioState.js';

/** Time between two measurements of an expectation that does not hold yet. */
const POLL_MS = 100;

const COMPARISONS = {
  '<=': (found: number, wanted: number) => found <= wanted,
  '>=': (found: number, wanted: number) => found >= wanted,
  '<': (found: number, wanted: number) => found < wanted,
  '>': (found: number, wanted: number) => found > wanted,
  '=': (found: number, wanted: number) => found === wanted,
};

export interface RunnerOptions {
  readonly file: string;
  /** Seed of arrivals and service times. */
  readonly seed: number;
  /** Receives a line for each statement and measured value, and details of the run if a statement fails. */
  readonly log: (line: string) => void;
}

type Expectation = Extract<Action, { kind: 'expect' }>;

/** Runs one scenario on a fleet that it starts for this run. Disposal stops the loads and the fleet. */
export class ScenarioRunner {
  readonly #options: RunnerOptions;

  readonly #abort = new AbortController();

  #state: ScenarioState | undefined;

  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs the statements of a scenario in order.
   * @param statements - Statements from `parseScenario`.
   * @throws ScenarioError if a statement fails or the run is interrupted; the statements after it are not run.
   */
  async run(statements: readonly Statement[]): Promise<void> {
    const start = statements.findIndex((statement) => statement.kind === 'startFleet');
    const fleet = await this.#buildFleet(statements.slice(0, start));
    this.#state = this.#buildState(fleet);
    await this.#runOne(statements[start], async () => {
      await fleet.start();
      await fleet.waitServing(this.#abort.signal);
    });
    for (let index = start + 1; index < statements.length; index++) {
      const statement = statements[index];
      await this.#runOne(statement, () => this.#dispatch(statement));
    }
  }

  /** Interrupts the run: ends waits, stops the arrivals of all loads, and makes `run` throw at the next statement. */
  stop(): void {
    this.#abort.abort();
    this.#state?.loads.forEach((load) => load.stop());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    const loads = [...(this.#state?.loads.values() ?? [])];
    await Promise.all(loads.map((load: caller.CallerLoad) => load[Symbol.asyncDispose]()));
    await this.#state?.fleet[Symbol.asyncDispose]();
  }

  /** Logs a statement and runs its action. If it fails, logs details of the run and throws a ScenarioError. */
  async #runOne(statement: Statement, action: () => Promise<void>): Promise<void> {
    const { file, log } = this.#options;
    if (this.#abort.signal.aborted) {
      throw new ScenarioError(file, statement.line, 'interrupted');
    }
    log(`${String(statement.line).padStart(3)}  ${statement.text}`);
    try {
      await action();
    } catch (error) {
      if (this.#state !== undefined) {
        const admission = await describeAdmission(this.#state);
        describeViolations(this.#state).forEach(log);
        [...describeLoads(this.#state), ...admission].forEach(log);
        describeOutput(this.#state).forEach(log);
      }
      throw error instanceof ScenarioError
        ? error
        : new ScenarioError(file, statement.line, (error as Error).message);
    }
  }

  async #dispatch(statement: Statement): Promise<void> {
    if (statement.kind === 'expect') {
      await this.#checkExpectation(statement, statement);
      return;
    }
    await runStatement(this.#state!, statement);
  }

  async #checkExpectation(expectation: Expectation, statement: Statement): Promise<void> {
    const endMs = performance.now() + expectation.withinMs;
    const compare = COMPARISONS[expectation.comparison];
    let found = await measureValue(this.#state!, expectation.measure);
    while (!compare(found, expectation.value) && performance.now() < endMs) {
      await time.waitFor(POLL_MS, this.#abort.signal);
      found = await measureValue(this.#state!, expectation.measure);
    }
    const value = Number.isInteger(found) ? found : found.toFixed(3);
    this.#options.log(`       measured ${value}`);
    if (!compare(found, expectation.value)) {
      const reason = `${statement.text}: measured ${value}`;
      throw new ScenarioError(this.#options.file, statement.line, reason);
    }
  }

  async #buildFleet(statements: readonly Statement[]): Promise<Fleet> {
    const [first, ...rest] = statements;
    if (first?.kind !== 'deployment') {
      throw new ScenarioError(this.#options.file, 1, 'the first statement must be `deployment`');
    }
    const tuning = this.#buildTuning(rest);
    const deployment = await this.#loadDeployment(first);
    for (let index = 0; index < rest.length; index++) {
      const statement = rest[index];
      await this.#runOne(statement, async () => {
        if (statement.kind === 'set') {
          deployment.setValue(statement.section, statement.key, statement.value);
        }
      });
    }
    return new Fleet({ deployment, tuning, hasRelays: true });
  }

  async #loadDeployment(statement: OfKind<Statement, 'deployment'>): Promise<Deployment> {
    let deployment: Deployment | undefined;
    await this.#runOne(statement, async () => {
      deployment = await Deployment.load({
        ...statement,
        folder: await findDeploymentFolder(statement.name),
      });
    });
    return deployment!;
  }

  #buildTuning(statements: readonly Statement[]): BackendTuning {
    const workMs = new Map<string, number>();
    let coldMs = 0;
    statements.forEach((statement) => {
      if (statement.kind === 'work') {
        workMs.set(statement.route, statement.durationMs);
      }
      coldMs = statement.kind === 'cold' ? statement.durationMs : coldMs;
    });
    return { seed: this.#options.seed, defaultWorkMs: 5, workMs, coldMs };
  }

  #buildState(fleet: Fleet): ScenarioState {
    return {
      fleet,
      loads: new Map(),
      runningLoads: new Map(),
      withdrawnMs: new Map(),
      stopRequestedMs: new Map(),
      expectedEnds: new Set(),
      firstCountedRun: 0,
      rollout: undefined,
      seed: this.#options.seed,
      signal: this.#abort.signal,
    };
  }
}
