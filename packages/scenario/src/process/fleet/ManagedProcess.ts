import * as childProcess from 'node:child_process';
import { once } from 'node:events';
import * as readline from 'node:readline';
import { time } from '@tanagerpond/testkit';
import { ProcessStartError } from './ProcessStartError.js';

/** Time within which a process must become ready. On a loaded machine, a start takes several seconds. */
const READY_TIMEOUT_MS = 20_000;

/** Number of the latest output lines that are kept for error reports. */
const KEPT_LINES = 40;

/** Running child processes. They are killed when this process exits without having disposed of them. */
const running = new Set<childProcess.ChildProcess>();

process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** A child process that prints one JSON line with its addresses to standard output once it is ready. */
export class ManagedProcess {
  readonly name: string;

  readonly #child: childProcess.ChildProcess;

  readonly #ended: Promise<unknown>;

  readonly #lines: string[] = [];

  readonly #ready: Promise<Readonly<Record<string, unknown>>>;

  #exitCode: number | null | undefined;

  /**
   * Starts a process without waiting until it is ready.
   * @param name - Name in error messages.
   * @param file - Script to run with Node.js.
   * @param parameters - Command-line arguments of the script.
   */
  constructor(name: string, file: string, parameters: readonly string[]) {
    this.name = name;
    this.#child = childProcess.spawn(process.execPath, [file, ...parameters], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(this.#child);
    this.#ended = once(this.#child, 'exit').then(([code]) => {
      running.delete(this.#child);
      this.#exitCode = code as number | null;
    });
    this.#ready = this.#watchOutput();
    this.#ready.catch(() => undefined);
  }

  /** Exit code; null if a signal ended the process, undefined while it runs. */
  get exitCode(): number | null | undefined {
    return this.#exitCode;
  }

  get isRunning(): boolean {
    return this.#exitCode === undefined;
  }

  /** The latest lines that the process printed to standard output and standard error, at most 40. */
  get output(): readonly string[] {
    return this.#lines;
  }

  /**
   * Waits for the JSON line with the addresses and returns its content.
   * @throws ProcessStartError if the process exits first or is not ready within 20 s.
   */
  async waitReady(): Promise<Readonly<Record<string, unknown>>> {
    const decided = new AbortController();
    const late = time.waitFor(READY_TIMEOUT_MS, decided.signal).then(() => undefined);
    const ended = this.#ended.then(() => undefined);
    const ready = await Promise.race([this.#ready, late, ended]);
    decided.abort();
    if (ready === undefined) {
      const cause = this.isRunning ? 'not ready in time' : `ended with ${this.#exitCode}`;
      throw new ProcessStartError(this.name, cause, this.#lines);
    }
    return ready;
  }

  /** Process id; undefined if the process could not be started. */
  get id(): number | undefined {
    return this.#child.pid;
  }

  /** Sends a signal to the process if it still runs. */
  send(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this.#child.kill(signal);
    }
  }

  /** Waits until the process has exited. Returns false if it still runs after the time-out. */
  async waitEnd(timeoutMs: number): Promise<boolean> {
    const decided = new AbortController();
    await Promise.race([this.#ended, time.waitFor(timeoutMs, decided.signal)]);
    decided.abort();
    return !this.isRunning;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.send('SIGKILL');
    await this.#ended;
  }

  async #watchOutput(): Promise<Readonly<Record<string, unknown>>> {
    const { stdout, stderr } = this.#child;
    return new Promise((resolve) => {
      [stdout, stderr].forEach((stream) => {
        readline.createInterface({ input: stream! }).on('line', (line) => {
          this.#keepLine(line);
          const addresses = stream === stdout ? parseAddresses(line) : undefined;
          if (addresses !== undefined) {
            resolve(addresses);
          }
        });
      });
    });
  }

  #keepLine(line: string): void {
    this.#lines.push(line);
    if (this.#lines.length > KEPT_LINES) {
      this.#lines.shift();
    }
  }
}

function parseAddresses(line: string): Readonly<Record<string, unknown>> | undefined {
  if (!line.startsWith('{')) {
    return undefined;
  }
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
