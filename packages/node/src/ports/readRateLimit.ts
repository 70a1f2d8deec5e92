import { admission } from '@tanagerpond/core';
import type { node } from '@tanagerpond/core';

/** Decimal number without sign or exponent. */
const DECIMAL = /^\d+(\.\d+)?$/;

/** Rate limit that an answer names, in calls a second. */
export type NamedRateLimit = number | 'none' | 'malformed';

/**
 * Reads the rate limit that a backend server names in an answer.
 * @param headers - Headers of the answer; names in lower case.
 * @param name - Name of the header.
 */
export function readRateLimit(headers: readonly node.HeaderPair[], name: string): NamedRateLimit {
  const values = headers.filter((header) => header[0] === name).map((header) => header[1].trim());
  if (values.length === 0) {
    return 'none';
  }
  const perSecond = Number(values[0]);
  const isValid =
    values.length === 1 && DECIMAL.test(values[0]) && admission.isRateLimit(perSecond);
  return isValid ? perSecond : 'malformed';
}
