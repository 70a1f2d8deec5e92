import * as fs from 'node:fs/promises';
import { Result } from 'true-myth';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';

/** One JSON line of a log file. */
interface LogLine {
  readonly file: string;
  readonly text: string;
  readonly request: string;
  readonly root: string;
  readonly timestamp: string;
}

/**
 * Prints every line about one request from the logs of several processes, ordered by timestamp. Selects the lines whose
 * `request` or `root` is the given id, the calls whose `request` begins with the id and a dot, and all other lines that
 * share a `root` with one of these.
 * @param id - Id that the caller gave to its attempt, or the `root` of a log line.
 * @param files - Log files with one JSON object per line; other lines are ignored.
 * @param terminal - Output for the lines.
 * @returns 1 if no line matches, 2 if a file cannot be read.
 */
export async function traceRequest(
  id: string,
  files: readonly string[],
  terminal: Terminal,
): Promise<ExitCode> {
  const read = await Promise.all(files.map((file) => readLines(file)));
  const errors = read.flatMap((one) => (one.isErr ? [one.error] : []));
  if (errors.length > 0) {
    errors.forEach((message) => terminal.writeError(message));
    return EXIT.badInput;
  }
  const lines = read.flatMap((one) => one.unwrapOr([]));
  const found = selectLines(lines, id);
  found.forEach(({ file, text }) => terminal.write(`${file}: ${text}`));
  if (found.length === 0) {
    terminal.writeError(`no log line matches ${id}`);
  }
  return found.length > 0 ? EXIT.done : EXIT.failed;
}

async function readLines(file: string): Promise<Result<readonly LogLine[], string>> {
  try {
    const text = await fs.readFile(file, 'utf8');
    return Result.ok(text.split('\n').flatMap((line) => parseLine(file, line)));
  } catch {
    return Result.err(`${file}: expected a readable file`);
  }
}

/** Parses a line as JSON from its first brace on, because a log collector may have added a prefix. */
function parseLine(file: string, line: string): readonly LogLine[] {
  const start = line.indexOf('{');
  try {
    const fields = JSON.parse(line.slice(start)) as Readonly<Record<string, unknown>>;
    const read = (name: string): string => String(fields[name] ?? '');
    const [request, root, timestamp] = ['request', 'root', 'timestamp'].map(read);
    return [{ file, text: line.slice(start), request, root, timestamp }];
  } catch {
    return [];
  }
}

function selectLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
  const isMatch = ({ request, root }: LogLine): boolean =>
    request === id || root === id || request.startsWith(`${id}.`);
  const roots = new Set(lines.filter(isMatch).map(({ root }) => root));
  roots.delete('');
  return lines
    .filter((line) => isMatch(line) || roots.has(line.root))
    .sort((left, right) => left.timestamp.localeCompare(right.timestamp));
}
