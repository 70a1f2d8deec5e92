import type { Statement } from './Statement.js';

export interface ScenarioProblem {
  readonly line: number;
  readonly reason: string;
}

/** Statements that make sense only before the fleet runs. */
const EARLY_KINDS = new Set(['deployment', 'set', 'work', 'cold']);

/**
 * Checks what the grammar cannot: the order of the statements, the loads they name, and that the scenario ends with
 * an expectation, without which it could not fail.
 * @param statements - Statements in the order of the file.
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
    const isEarly = EARLY_KINDS.has(statement.kind);
    return index !== start && isEarly !== (start === -1 || index < start);
  });
  if (misplaced === undefined) {
    return undefined;
  }
  const place = EARLY_KINDS.has(misplaced.kind) ? 'before' : 'after';
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
