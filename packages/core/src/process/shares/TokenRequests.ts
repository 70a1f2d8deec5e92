/** A holder that has not answered after this time counts as silent. One tick fits into the wait of a request. */
const ANSWER_MS = 45;

/** A silent holder is asked again after this time, which doubles as long as it stays silent. */
const SILENCE_MS = 1_000;

const MAX_SILENCE_MS = 8_000;

/** One request for tokens to one holder. */
interface Ask {
  readonly holder: string;
  readonly sentMs: number;
  /** Tokens expected, by workspace. */
  readonly expected: ReadonlyMap<string, number>;
  overdue: boolean;
}

/** Requests for tokens that are under way, and the holders that do not answer. */
export class TokenRequests {
  readonly #asks = new Map<string, Ask>();

  readonly #expected = new Map<string, number>();

  readonly #silences = new Map<string, { untilMs: number; lengthMs: number }>();

  readonly #proven = new Set<string>();

  #nowMs = Number.NEGATIVE_INFINITY;

  /**
   * Records a request that is being sent.
   * @param id - Id of the request.
   * @param holder - VM that is asked.
   * @param expected - Tokens expected, by workspace.
   * @param sentMs - Time before sending, in milliseconds.
   */
  add(id: string, holder: string, expected: ReadonlyMap<string, number>, sentMs: number): void {
    this.#asks.set(id, { holder, sentMs, expected, overdue: false });
    expected.forEach((tokens, name) => this.#addExpected(name, tokens));
  }

  /**
   * Takes the request that a grant answers.
   * @param id - Id of the request.
   * @param holder - VM that answers.
   * @returns The time at which the request was sent, or undefined when no such request is under way.
   */
  finish(id: string, holder: string): number | undefined {
    const ask = this.#asks.get(id);
    if (ask?.holder !== holder) {
      return undefined;
    }
    this.#asks.delete(id);
    this.#silences.delete(holder);
    this.#proven.add(holder);
    this.#clearExpected(ask);
    return ask.sentMs;
  }

  /**
   * Marks holders that did not answer in time, and forgets requests whose grant would be useless.
   * @param leaseMs - Lease time of tokens, in milliseconds.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  advance(leaseMs: number, nowMs: number): void {
    this.#asks.forEach((ask, id) => {
      if (!ask.overdue && nowMs - ask.sentMs >= ANSWER_MS) {
        this.#clearExpected(ask);
        Object.assign(ask, { overdue: true });
        this.#recordSilence(ask.holder, nowMs);
      }
      if (nowMs - ask.sentMs >= leaseMs) {
        this.#asks.delete(id);
      }
    });
    this.#silences.forEach((silence, holder) => {
      if (silence.untilMs + MAX_SILENCE_MS <= nowMs) {
        this.#silences.delete(holder);
      }
    });
    this.#nowMs = nowMs;
  }

  /**
   * Counts the tokens that requests under way are expected to bring.
   * @param workspace - Name of the workspace.
   */
  countExpected(workspace: string): number {
    return this.#expected.get(workspace) ?? 0;
  }

  /**
   * Tells whether a holder did not answer lately.
   * @param holder - Name of the VM.
   */
  isUnresponsive(holder: string): boolean {
    return (this.#silences.get(holder)?.untilMs ?? Number.NEGATIVE_INFINITY) > this.#nowMs;
  }

  /**
   * Tells whether a holder answered the latest requests.
   * @param holder - Name of the VM.
   */
  hasAnswered(holder: string): boolean {
    return this.#proven.has(holder);
  }

  /** Counts the requests under way. */
  count(): number {
    return this.#asks.size;
  }

  /** Forgets every request. */
  clear(): void {
    this.#asks.clear();
    this.#expected.clear();
    this.#silences.clear();
    this.#proven.clear();
  }

  #recordSilence(holder: string, nowMs: number): void {
    this.#proven.delete(holder);
    const known = this.#silences.get(holder);
    if (known !== undefined && known.untilMs > nowMs) {
      return;
    }
    const lengthMs = Math.min(MAX_SILENCE_MS, 2 * (known?.lengthMs ?? SILENCE_MS / 2));
    this.#silences.set(holder, { untilMs: nowMs + lengthMs, lengthMs });
  }

  #clearExpected(ask: Ask): void {
    if (!ask.overdue) {
      ask.expected.forEach((tokens, name) => this.#addExpected(name, -tokens));
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
