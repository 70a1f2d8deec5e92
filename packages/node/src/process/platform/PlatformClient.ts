import { Result } from 'true-myth';
import { buildConnector, Pool } from 'undici';
import type { IncomingHttpHeaders } from 'undici/types/header.js';
import { readFraming } from '../backend/index.js';
import { MAX_ANSWER_HEAD_BYTES, limitAnswerOverhead } from '../http/index.js';
import { PlatformError } from './PlatformError.js';

/** A value that was read from the platform. */
export interface PlatformValue {
  /** Index of the value; the next watch waits for a higher one. */
  readonly index: number;
  readonly text: string;
}

/** Maximum size of an answer, in bytes; the list of 18,000 VMs takes about 3 MB. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Time limit of an answer, in milliseconds; for a watch it is added to the wait. */
const ANSWER_LIMIT_MS = 5_000;

const CONNECT_LIMIT_MS = 1_000;

/** Reads and watches the platform's values over HTTP. */
export class PlatformClient {
  readonly #pool: Pool;

  readonly #stop = new AbortController();

  /** @param address - `IP:port` of the platform. */
  constructor(address: string) {
    this.#pool = new Pool(`http://${address}`, {
      connections: 3,
      pipelining: 1,
      connect: limitAnswerOverhead(buildConnector({ timeout: CONNECT_LIMIT_MS })),
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
      maxResponseSize: MAX_ANSWER_BYTES,
      // Off, because a watch waits for its headers; each request has a time limit of its own.
      headersTimeout: 0,
      bodyTimeout: ANSWER_LIMIT_MS,
    });
  }

  /**
   * Reads a value once.
   * @param path - Path of the value.
   */
  read(path: string): Promise<Result<PlatformValue, PlatformError>> {
    return this.#request(path, path, 0) as Promise<Result<PlatformValue, PlatformError>>;
  }

  /**
   * Waits for a value that is newer than a known one (long polling).
   * @param path - Path of the value.
   * @param after - Index of the known value.
   * @param waitMs - Maximum wait, in milliseconds.
   * @returns Undefined when no newer value appeared within the wait.
   */
  watch(
    path: string,
    after: number,
    waitMs: number,
  ): Promise<Result<PlatformValue | undefined, PlatformError>> {
    return this.#request(path, `${path}?after=${after}&waitMs=${waitMs}`, waitMs);
  }

  /** Aborts every read and closes the connections. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    await this.#pool.destroy();
  }

  async #request(
    path: string,
    target: string,
    waitMs: number,
  ): Promise<Result<PlatformValue | undefined, PlatformError>> {
    try {
      const limit = AbortSignal.timeout(waitMs + ANSWER_LIMIT_MS);
      const signal = AbortSignal.any([this.#stop.signal, limit]);
      const answer = await this.#pool.request({ path: target, method: 'GET', signal });
      const text = await answer.body.text();
      if (answer.statusCode === 304 && target !== path) {
        return Result.ok(undefined);
      }
      if (answer.statusCode !== 200) {
        return Result.err(new PlatformError(path, 'status', answer.statusCode));
      }
      if (isCloseDelimited(answer.headers)) {
        return Result.err(new PlatformError(path, 'lengthMissing'));
      }
      const index = Number(answer.headers['platform-index'] ?? readIndex(text));
      return Number.isSafeInteger(index)
        ? Result.ok({ index, text })
        : Result.err(new PlatformError(path, 'indexMissing'));
    } catch {
      return Result.err(new PlatformError(path, 'unreachable'));
    }
  }
}

/**
 * Returns whether only the close of the connection ends the answer. Such a value may be truncated, and a watch would
 * then wait for a newer value instead of reading the whole one.
 */
function isCloseDelimited(headers: IncomingHttpHeaders): boolean {
  const pairs = Object.entries(headers).map(([name, value]) => [name, String(value)] as const);
  return readFraming('GET', 200, pairs) === 'close';
}

/** Reads the index from the value itself, where the VM list has it. */
function readIndex(text: string): unknown {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null && 'index' in value ? value.index : NaN;
  } catch {
    return NaN;
  }
}
