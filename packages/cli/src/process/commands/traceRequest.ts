import * as fs from 'node:fs/promises';
import { Result } from 'true-myth';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';

/** One line of a process log. */
interface LogLine {
  readonly file: string;
  readonly text: string;
  readonly request: string;
  readonly root: string;
  readonly timestamp: string;
}

/**
 * Prints every line about one request from the logs of several processes, in the order of time. The id that the caller
 * gave leads to the id under which the processes know the request, and to the calls whose ids begin with it.
 * @param id - Id that the caller gave to its attempt, or the `root` of a line.
 * @param files - Logs, one JSON object a line; other lines are passed over.
 * @param terminal - Where the result goes.
 */
export async function traceRequest(
  id: string,
  files: readonly string[],
  terminal: Terminal,
): Promise<ExitCode> {
  const read = await Promise.all(files.map((file) => readLines(file)));
  const faults = read.flatMap((one) => (one.isErr ? [one.error] : []));
  if (faults.length > 0) {
    faults.forEach((fault) => terminal.writeError(fault));
    return EXIT.badInput;
  }
  const lines = read.flatMap((one) => one.unwrapOr([]));
  const found = selectLines(lines, id);
  found.forEach(({ file, text }) => terminal.write(`${file}: ${text}`));
  if (found.length === 0) {
    terminal.writeError(`no line about ${id}`);
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

/** A collector may have put its own prefix before the object. */
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
  const isOwn = ({ request, root }: LogLine): boolean =>
    request === id || root === id || request.startsWith(`${id}.`);
  const roots = new Set(lines.filter(isOwn).map(({ root }) => root));
  roots.delete('');
  return lines
    .filter((line) => isOwn(line) || roots.has(line.root))
    .sort((left, right) => left.timestamp.localeCompare(right.timestamp));
}
