/** Standard input and output of a command; tests replace it to capture the output. */
export interface Terminal {
  /** Writes one line to standard output. */
  write(line: string): void;

  /** Writes one line to standard error. */
  writeError(line: string): void;

  /** Reads standard input to its end; everything after the first 65,536 characters is discarded. */
  readInput(): Promise<string>;
}

const MAX_INPUT_CHARACTERS = 65_536;

/** Terminal backed by the standard streams of this process. */
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
