import type { Fleet } from '@tanagerpond/bundle';
import { Result } from 'true-myth';
import type { HeaderPair } from '../../process/node/NodeMessage.js';
import { createRefusal, type Refusal } from '../refusals.js';
import { readHeader } from './readHeader.js';

/** Header with the time for which a caller waits, in milliseconds. */
const DEADLINE_HEADER = 'tanagerpond-deadline-ms';

/** Decimal number; callers may send fractions of a millisecond, or a very long time. */
const NUMBER_PATTERN = /^-?\d{1,30}(?:\.\d{1,30})?$/;

/**
 * Reads how long a caller waits for its answer, with the default and the maximum of the fleet.
 * @param fleet - Default and maximum, from the active bundle.
 * @param headers - Headers with lower-case names.
 * @returns Time until the deadline in milliseconds, or the refusal `headerMalformed` or `deadlineExpired`.
 */
export function readDeadline(
  fleet: Fleet,
  headers: readonly HeaderPair[],
): Result<number, Refusal> {
  const header = readHeader(headers, DEADLINE_HEADER);
  if (header.kind === 'absent') {
    return Result.ok(fleet.defaultDeadlineMs);
  }
  if (header.kind === 'repeated' || !NUMBER_PATTERN.test(header.value)) {
    return Result.err(createRefusal('headerMalformed', { detail: DEADLINE_HEADER }));
  }
  const remainingMs = Math.floor(Number(header.value));
  if (remainingMs <= 0) {
    return Result.err(createRefusal('deadlineExpired', { detail: DEADLINE_HEADER }));
  }
  return Result.ok(Math.min(remainingMs, fleet.maxDeadlineMs));
}
