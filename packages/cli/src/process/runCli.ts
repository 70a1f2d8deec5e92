import { KEY_PATTERN } from '@tanagerpond/bundle';
import { createProgram } from './createProgram.js';
import { EXIT, type ExitCode } from './exitCodes.js';
import type { Terminal } from './Terminal.js';

/**
 * Runs one command line.
 * @param words - Arguments after the name of the program.
 * @param terminal - Where the command reads and writes.
 * @returns 0 done, 1 the check or run failed, 2 usage or bad input.
 */
export async function runCli(words: readonly string[], terminal: Terminal): Promise<ExitCode> {
  const program = createProgram(terminal);
  try {
    program.parse(['node', 'tanagerpond', ...joinCommand(words)], { run: false });
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
    // The parser repeats unused arguments, and one of them may be a key.
    terminal.writeError(message.replaceAll(new RegExp(KEY_PATTERN, 'g'), 'tpk_...'));
    return isUsage ? EXIT.badInput : EXIT.failed;
  }
}

/** The parser knows commands of one word only, so `bundle check` is passed to it as one. */
function joinCommand(words: readonly string[]): readonly string[] {
  const [first, second, ...rest] = words;
  if (first === undefined || second === undefined || second.startsWith('-')) {
    return words;
  }
  return first === 'demo' ? words : [`${first} ${second}`, ...rest];
}
