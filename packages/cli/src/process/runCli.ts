import { KEY_PATTERN } from '@tanagerpond/bundle';
import { createProgram } from './createProgram.js';
import { EXIT, type ExitCode } from './exitCodes.js';
import type { Terminal } from './Terminal.js';

/**
 * Parses one command line and runs its command. Errors are printed, never thrown.
 * @param args - Command-line arguments after the program name.
 * @param terminal - Input and output of the command.
 * @returns 0 on success, 1 if the check or run failed, 2 on a usage error or unreadable input.
 */
export async function runCli(args: readonly string[], terminal: Terminal): Promise<ExitCode> {
  const program = createProgram(terminal);
  try {
    program.parse(['node', 'tanagerpond', ...joinCommand(args)], { run: false });
    if (program.options.help === true) {
      return EXIT.done;
    }
    if (program.matchedCommand === undefined) {
      terminal.writeError('unknown command; tanagerpond --help lists the commands');
      return EXIT.badInput;
    }
    return (await program.runMatchedCommand()) as ExitCode;
  } catch (error) {
    const isUsage = error instanceof Error && error.name === 'CACError';
    const message = error instanceof Error ? error.message : String(error);
    // The parser's message quotes unused arguments, and one of them may be a caller key, so keys are redacted.
    terminal.writeError(message.replaceAll(new RegExp(KEY_PATTERN, 'g'), 'tpk_...'));
    return isUsage ? EXIT.badInput : EXIT.failed;
  }
}

/**
 * Joins the two words of a command such as `bundle check` into a single argument, because cac matches only one word.
 */
function joinCommand(args: readonly string[]): readonly string[] {
  const [first, second, ...rest] = args;
  if (first === undefined || second === undefined || second.startsWith('-')) {
    return args;
  }
  return first === 'demo' ? args : [`${first} ${second}`, ...rest];
}
