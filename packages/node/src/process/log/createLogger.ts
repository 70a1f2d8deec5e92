import type { Writable } from 'node:stream';
import winston from 'winston';

/** Severity of a log line, from least to most severe. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. They must never contain a key, ticket, token or body. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines. */
export interface Log {
  /**
   * Writes one line. A warning or error whose part and text were written within the last 10 s is only counted; the next
   * line with the same part and text reports the count as `repeated`.
   * @param level - Severity.
   * @param part - Part of the process that logs, such as `link`; prefix of the message.
   * @param text - Constant text; variable data goes into the fields.
   * @param fields - Variable data; a function is called only when the line is written.
   */
  write(level: LogLevel, part: string, text: string, fields?: LogFields | (() => LogFields)): void;
}

/** Log whose level can be changed. */
export interface ProcessLog extends Log {
  /**
   * Sets the least severe level that is written.
   * @param level - New level.
   */
  setLevel(level: LogLevel): void;
}

interface Repeated {
  untilMs: number;
  count: number;
}

/** Rank of each level; 0 is the most severe. */
const RANKS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 };

/** Time for which a repeated warning or error is counted instead of written, in milliseconds. */
const REPEAT_MS = 10_000;

/** Maximum number of texts whose repetitions are counted; beyond it the oldest entry is removed. */
const MAX_TRACKED_TEXTS = 256;

/**
 * Creates the log of the process, which writes JSON lines.
 * @param options - `level` is the least severe level written; `now` returns the monotonic time in milliseconds.
 */
export function createLogger(options: {
  readonly level: LogLevel;
  readonly stream: Writable;
  /** Returns true when the stream drops the next line, which is then not formatted. */
  readonly dropIfFull?: () => boolean;
  readonly now: () => number;
}): ProcessLog {
  const logger = winston.createLogger({
    level: options.level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Stream({ stream: options.stream })],
  });
  const repeated = new Map<string, Repeated>();
  let lowestRank = RANKS[options.level];
  return {
    setLevel(level) {
      logger.level = level;
      lowestRank = RANKS[level];
    },
    write(level, part, text, fields = {}) {
      // Winston passes every line through a stream before it checks the level.
      if (RANKS[level] > lowestRank) {
        return;
      }
      const count =
        level === 'info' || level === 'debug'
          ? 0
          : countRepeat(repeated, `${part}: ${text}`, options.now());
      if (count !== undefined && options.dropIfFull?.() !== true) {
        const repeats = count > 0 ? { repeated: count } : {};
        const data = typeof fields === 'function' ? fields() : fields;
        logger.log({ ...data, ...repeats, level, message: `${part}: ${text}` });
      }
    },
  };
}

/** Returns how often a text was repeated since it was last written; undefined when it must not be written now. */
function countRepeat(
  repeated: Map<string, Repeated>,
  text: string,
  nowMs: number,
): number | undefined {
  const known = repeated.get(text);
  if (known !== undefined && nowMs < known.untilMs) {
    known.count += 1;
    return undefined;
  }
  repeated.delete(text);
  repeated.set(text, { untilMs: nowMs + REPEAT_MS, count: 0 });
  if (repeated.size > MAX_TRACKED_TEXTS) {
    [...repeated.keys()].slice(0, 1).forEach((oldest) => repeated.delete(oldest));
  }
  return known?.count ?? 0;
}
