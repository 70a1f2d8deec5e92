import type { Writable } from 'node:stream';
import winston from 'winston';

/** Parts that log; each line begins with the part. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. Never a key, ticket, token or body. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines. */
export interface Log {
  /**
   * Writes one line, or counts it when the same text was written within the last 10 s.
   * @param level - Severity.
   * @param part - Fixed prefix of the part, such as `link`.
   * @param text - Short sentence without changing content; what changes goes into the fields.
   * @param fields - Further data; a function is called only when the line is written.
   */
  write(level: LogLevel, part: string, text: string, fields?: LogFields | (() => LogFields)): void;
}

/** The log of a process, whose level can change. */
export interface ProcessLog extends Log {
  /**
   * Changes the least severe level that is written.
   * @param level - New level.
   */
  setLevel(level: LogLevel): void;
}

interface Repeated {
  untilMs: number;
  count: number;
}

/** Rank of each level; the most severe is 0. */
const RANKS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 };

/** Time for which a repeated warning or error is counted instead of written, in milliseconds. */
const REPEAT_MS = 10_000;

/** Different texts remembered; beyond it the oldest is forgotten and would be written again. */
const REMEMBERED_TEXTS = 256;

/**
 * Creates the log of the process: JSON lines by winston.
 * @param options - `level` is the least severe level written; `now` gives monotonic milliseconds.
 */
export function createLogger(options: {
  readonly level: LogLevel;
  readonly stream: Writable;
  /** Drops the next line when the stream has no room for it, so that it need not be formatted. */
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
      // The library would pass every line through its stream before it looks at the level.
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

/** Returns how often the text came since it was last written, or undefined when it is not to be written now. */
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
  if (repeated.size > REMEMBERED_TEXTS) {
    [...repeated.keys()].slice(0, 1).forEach((oldest) => repeated.delete(oldest));
  }
  return known?.count ?? 0;
}
