import type { Statement } from './Statement.js';

/** A problem in a scenario, with its line in the file. */
export interface ScenarioProblem {
  readonly line: number;
  readonly reason: string;
}

/** Kinds of statements that configure the fleet and must therefore come before `start fleet`. */
const SETUP_KINDS = new Set(['deployment', 'set', 'work', 'cold']);

/**
 * Checks the rules that the grammar cannot express: the order of the statements, that named loads have been started
 * under distinct names, and that the scenario ends with `expect`, so that its result is checked.
 * @param statements - Statements in the order of the file.
 * @returns A problem, or undefined if the scenario is valid.
 */
export function checkScenario(statements: readonly Statement[]): ScenarioProblem | undefined {
  const [first] = statements;
  const last = statements.at(-1);
  if (first === undefined || last === undefined) {
    return { line: 1, reason: 'the scenario has no statement' };
  }
  if (first.kind !== 'deployment') {
    return { line: first.line, reason: 'the first statement must be `deployment`' };
  }
  if (last.kind !== 'expect') {
    return { line: last.line, reason: 'the last statement must be `expect`' };
  }
  return findOrderProblem(statements) ?? findLoadProblem(statements);
}

function findOrderProblem(statements: readonly Statement[]): ScenarioProblem | undefined {
  const start = statements.findIndex((statement) => statement.kind === 'startFleet');
  const misplaced = statements.find((statement, index) => {
    const isSetup = SETUP_KINDS.has(statement.kind);
    return index !== start && isSetup !== (start === -1 || index < start);
  });
  if (misplaced === undefined) {
    return undefined;
  }
  const place = SETUP_KINDS.has(misplaced.kind) ? 'before' : 'after';
  return { line: misplaced.line, reason: `this statement must stand ${place} \`start fleet\`` };
}

function findLoadProblem(statements: readonly Statement[]): ScenarioProblem | undefined {
  const known = new Set<string>();
  let problem: ScenarioProblem | undefined;
  statements.forEach((statement) => {
    const named = findNamedLoad(statement);
    if (statement.kind === 'load') {
      const reason = `there are two loads ${statement.name}`;
      problem ??= known.has(statement.name) ? { line: statement.line, reason } : undefined;
      known.add(statement.name);
    } else if (named !== undefined && !known.has(named)) {
      problem ??= { line: statement.line, reason: `no load ${named} was started` };
    }
  });
  return problem;
}

function findNamedLoad(statement: Statement): string | undefined {
  if (statement.kind === 'expect') {
    return 'load' in statement.measure ? statement.measure.load : undefined;
  }
  return 'load' in statement ? statement.load : undefined;
}
