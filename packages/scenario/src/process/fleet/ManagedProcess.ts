import * as childProcess from 'node:child_process';
import { once } from 'node:events';
import * as readline from 'node:readline';
import { time } from '@tanagerpond/testkit';
import { ProcessStartError } from './ProcessStartError.js';

/** A process that is not ready after this time is reported as failed; a loaded machine needs several seconds. */
const READY_TIMEOUT_MS = 20_000;

/** Lines kept for an error report. */
const KEPT_LINES = 40;

/** Processes that are still to be ended when this process ends without disposing of them. */
const running = new Set<childProcess.ChildProcess>();

process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** A process of the project that prints one JSON line with its addresses when it is ready. */
export class ManagedProcess {
  readonly name: string;

  readonly #child: childProcess.ChildProcess;

  readonly #ended: Promise<unknown>;

  readonly #lines: string[] = [];

  readonly #ready: Promise<Readonly<Record<string, unknown>>>;

  #exitCode: number | null | undefined;

  /**
   * Starts a process.
   * @param name - Name for reports.
   * @param file - Script to run with Node.js.
   * @param parameters - Command line.
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

  /** Exit code, null after a signal, undefined while the process runs. */
  get exitCode(): number | null | undefined {
    return this.#exitCode;
  }

  get isRunning(): boolean {
    return this.#exitCode === undefined;
  }

  /** Last lines that the process printed. */
  get output(): readonly string[] {
    return this.#lines;
  }

  /**
   * Waits for the JSON line with the addresses.
   * @throws ProcessStartError when the process ends first or takes too long.
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

  /** Id of the process; undefined when it could not be started. */
  get id(): number | undefined {
    return this.#child.pid;
  }

  /** Sends a signal to this process alone. */
  send(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      this.#child.kill(signal);
    }
  }

  /** Waits for the end of the process; false when it did not end in time. */
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
