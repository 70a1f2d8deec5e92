/**
 * Time after which a holder that has not answered counts as unresponsive. It leaves one tick within the time that a
 * caller's request waits for a token, so that another holder can be asked.
 */
const ANSWER_TIMEOUT_MS = 45;

/** First backoff for a holder that does not answer; it doubles with each further time-out, up to the maximum. */
const MIN_BACKOFF_MS = 1_000;

const MAX_BACKOFF_MS = 8_000;

/** Request for tokens that was sent to one holder. */
interface TokenRequest {
  readonly holder: string;
  readonly sentMs: number;
  /** Number of tokens that the grant will probably bring, by workspace. */
  readonly expected: ReadonlyMap<string, number>;
  timedOut: boolean;
}

/** Pending requests for tokens, and which holders answer them. */
export class TokenRequests {
  readonly #requests = new Map<string, TokenRequest>();

  readonly #expected = new Map<string, number>();

  readonly #backoffs = new Map<string, { untilMs: number; lengthMs: number }>();

  readonly #responsive = new Set<string>();

  #nowMs = Number.NEGATIVE_INFINITY;

  /**
   * Records a request that is being sent.
   * @param id - Id of the request.
   * @param holder - VM that the request goes to.
   * @param expected - Number of tokens that the grant will probably bring, by workspace.
   * @param sentMs - Monotonic time before the request is sent, in milliseconds.
   */
  add(id: string, holder: string, expected: ReadonlyMap<string, number>, sentMs: number): void {
    this.#requests.set(id, { holder, sentMs, expected, timedOut: false });
    expected.forEach((tokens, name) => this.#addExpected(name, tokens));
  }

  /**
   * Removes the request that a grant answers and records that the holder responds.
   * @param id - Id of the request.
   * @param holder - VM that answered.
   * @returns The time at which the request was sent, or undefined if no such request to this holder is pending.
   */
  finish(id: string, holder: string): number | undefined {
    const request = this.#requests.get(id);
    if (request?.holder !== holder) {
      return undefined;
    }
    this.#requests.delete(id);
    this.#backoffs.delete(holder);
    this.#responsive.add(holder);
    this.#removeExpected(request);
    return request.sentMs;
  }

  /**
   * Marks holders that did not answer in time as unresponsive, and removes requests whose grant would already have
   * expired.
   * @param leaseMs - Lease time of tokens, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(leaseMs: number, nowMs: number): void {
    this.#requests.forEach((request, id) => {
      if (!request.timedOut && nowMs - request.sentMs >= ANSWER_TIMEOUT_MS) {
        this.#removeExpected(request);
        Object.assign(request, { timedOut: true });
        this.#recordTimeout(request.holder, nowMs);
      }
      if (nowMs - request.sentMs >= leaseMs) {
        this.#requests.delete(id);
      }
    });
    this.#backoffs.forEach((backoff, holder) => {
      if (backoff.untilMs + MAX_BACKOFF_MS <= nowMs) {
        this.#backoffs.delete(holder);
      }
    });
    this.#nowMs = nowMs;
  }

  /**
   * Counts the tokens that pending requests will probably bring.
   * @param workspace - Name of the workspace.
   */
  countExpected(workspace: string): number {
    return this.#expected.get(workspace) ?? 0;
  }

  /**
   * Returns whether a holder recently failed to answer, so that no requests are sent to it for now.
   * @param holder - Name of the VM.
   */
  isUnresponsive(holder: string): boolean {
    return (this.#backoffs.get(holder)?.untilMs ?? Number.NEGATIVE_INFINITY) > this.#nowMs;
  }

  /**
   * Returns whether a holder has answered a request and no later request to it has timed out.
   * @param holder - Name of the VM.
   */
  hasAnswered(holder: string): boolean {
    return this.#responsive.has(holder);
  }

  /** Counts the pending requests. */
  count(): number {
    return this.#requests.size;
  }

  /** Removes all requests and all records about holders. */
  clear(): void {
    this.#requests.clear();
    this.#expected.clear();
    this.#backoffs.clear();
    this.#responsive.clear();
  }

  #recordTimeout(holder: string, nowMs: number): void {
    this.#responsive.delete(holder);
    const known = this.#backoffs.get(holder);
    if (known !== undefined && known.untilMs > nowMs) {
      return;
    }
    const lengthMs = Math.min(MAX_BACKOFF_MS, 2 * (known?.lengthMs ?? MIN_BACKOFF_MS / 2));
    this.#backoffs.set(holder, { untilMs: nowMs + lengthMs, lengthMs });
  }

  #removeExpected(request: TokenRequest): void {
    if (!request.timedOut) {
      request.expected.forEach((tokens, name) => this.#addExpected(name, -tokens));
    }
  }

  #addExpected(workspace: string, tokens: number): void {
    const expected = this.countExpected(workspace) + tokens;
    if (expected > 1e-6) {
      this.#expected.set(workspace, expected);
    } else {
      this.#expected.delete(workspace);
    }
  }
}
