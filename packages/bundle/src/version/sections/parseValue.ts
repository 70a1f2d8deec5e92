import { Result } from 'true-myth';

/** Parses the value of a key. The error describes the expected value, worded to follow "expected". */
export type ValueParser = (text: string) => Result<unknown, string>;

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)\s*(ms|s|m|h)$/;
const DURATION_UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
const SIZE_PATTERN = /^(\d+)\s*(B|KiB|MiB)$/;
const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576 };
const BOOLEAN_TEXTS: Readonly<Record<string, boolean>> = {
  yes: true,
  true: true,
  no: false,
  false: false,
};

/**
 * Parses a duration with a unit, such as `3s`.
 * @returns Milliseconds, rounded.
 */
export function parseDuration(text: string): Result<number, string> {
  const match = DURATION_PATTERN.exec(text);
  const unitMs = DURATION_UNITS_MS[match?.[2] ?? ''];
  if (match === null || unitMs === undefined) {
    return Result.err('a duration with a unit (ms, s, m or h), such as 3s');
  }
  return Result.ok(Math.round(Number(match[1]) * unitMs));
}

/**
 * Parses a size with a unit, such as `64KiB`.
 * @returns Bytes.
 */
export function parseSize(text: string): Result<number, string> {
  const match = SIZE_PATTERN.exec(text);
  const unitBytes = SIZE_UNITS_BYTES[match?.[2] ?? ''];
  if (match === null || unitBytes === undefined) {
    return Result.err('a size with a unit (B, KiB or MiB), such as 64KiB');
  }
  return Result.ok(Number(match[1]) * unitBytes);
}

/** Parses a decimal number without sign and exponent. */
export function parseNumber(text: string): Result<number, string> {
  return /^\d{1,15}(\.\d+)?$/.test(text) ? Result.ok(Number(text)) : Result.err('a number');
}

/** Parses `yes` or `true`, `no` or `false`. */
export function parseBoolean(text: string): Result<boolean, string> {
  const value = Object.hasOwn(BOOLEAN_TEXTS, text) ? BOOLEAN_TEXTS[text] : undefined;
  return value === undefined ? Result.err('yes or no') : Result.ok(value);
}

/** Parses a comma-separated list; an empty text is an empty list. */
export function parseList(text: string): Result<readonly string[], string> {
  if (text === '') {
    return Result.ok([]);
  }
  const items = text.split(',').map((item) => item.trim());
  return items.includes('')
    ? Result.err('a comma-separated list without empty items')
    : Result.ok(items);
}

/** Accepts any text that is not empty, unchanged. */
export function parseText(text: string): Result<string, string> {
  return text === '' ? Result.err('a value') : Result.ok(text);
}
