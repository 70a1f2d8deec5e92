import { Result } from 'true-myth';
import { buildAction } from './buildAction.js';
import { checkScenario } from './checkScenario.js';
import { grammar } from './grammar.js';
import { ScenarioError } from './ScenarioError.js';
import type { Statement } from './Statement.js';

/**
 * Parses a scenario, which has one statement per line and comments after `#`, and checks the order of its statements.
 * @param file - Name of the file in error messages.
 * @param text - Content of the file.
 * @returns The statements, or the first error with its line.
 */
export function parseScenario(
  file: string,
  text: string,
): Result<readonly Statement[], ScenarioError> {
  const statements: Statement[] = [];
  const lines = text.split('\n');
  for (let index = 0; index < lines.length; index++) {
    const line = (lines[index] ?? '').replace(/(^|\s)#.*$/, '').trim();
    if (line !== '') {
      const match = grammar.match(line, 'Statement');
      if (match.failed()) {
        const reason = (match.shortMessage ?? 'unreadable').replace('Line 1, col', 'column');
        return Result.err(new ScenarioError(file, index + 1, reason));
      }
      statements.push({ ...buildAction(match), line: index + 1, text: line });
    }
  }
  const problem = checkScenario(statements);
  return problem === undefined
    ? Result.ok(statements)
    : Result.err(new ScenarioError(file, problem.line, problem.reason));
}
