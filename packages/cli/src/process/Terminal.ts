/** Where a command reads and writes; tests pass their own. */
export interface Terminal {
  /** Writes one line to standard output. */
  write(line: string): void;

  /** Writes one line to standard error. */
  writeError(line: string): void;

  /** Reads standard input to its end; what goes beyond 65,536 characters is dropped. */
  readInput(): Promise<string>;
}

const MAX_INPUT_CHARACTERS = 65_536;

/** The terminal of the process. */
export const processTerminal: Terminal = {
  write: (line) => {
    process.stdout.write(`${line}\n`);
  },
  writeError: (line) => {
    process.stderr.write(`${line}\n`);
  },
  readInput: () => readStream(process.stdin),
};

function readStream(stream: NodeJS.ReadableStream): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    stream.setEncoding('utf8');
    stream.on('data', (chunk) => {
      text = `${text}${String(chunk)}`.slice(0, MAX_INPUT_CHARACTERS);
    });
    stream.once('end', () => resolve(text));
    stream.once('error', reject);
  });
}
