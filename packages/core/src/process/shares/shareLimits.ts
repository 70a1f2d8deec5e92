/**
 * Share of a lease that a lender waits beyond its end. Clock rates within 1% of true time differ by up to 2.03% between
 * two machines.
 */
export const LENDER_CLOCK_MARGIN = 0.025;

/** Covers rounding of times in the lender's wait. */
export const LENDER_ROUNDING_MS = 1;

/** A clock that runs 1% fast would otherwise produce 1% more tokens than the rate allows. */
export const REFILL_FACTOR = 0.99;

/** A request without a token waits at most this long for one. */
export const MAX_TOKEN_WAIT_MS = 100;

/** Longest time for which a holder lends tokens to a spender. */
const MAX_SUBLEASE_MS = 1_000;

/** A sublease ends well before the lease of the share that covers it. */
const SUBLEASES_PER_LEASE = 3;

/** Absorbs rounding of fractions; far below one token of any burst. */
export const ROUNDING_TOLERANCE = 1e-9;

/**
 * Computes how long a lender keeps lent capacity aside, counted from after it granted.
 * @param leaseMs - Lease time told to the borrower, in milliseconds.
 */
export function computeLenderLeaseMs(leaseMs: number): number {
  return leaseMs * (1 + LENDER_CLOCK_MARGIN) + LENDER_ROUNDING_MS;
}

/**
 * Computes the lease time of tokens that a holder lends to a spender.
 * @param shareLeaseMs - Lease time of whole shares, in milliseconds.
 */
export function computeSubleaseMs(shareLeaseMs: number): number {
  return Math.min(MAX_SUBLEASE_MS, shareLeaseMs / SUBLEASES_PER_LEASE);
}
