/**
 * Fraction of the lease time that a lender waits after the lease ends. The clocks of two VMs whose rates are within 1%
 * of true time differ by up to 2.03%.
 */
export const LENDER_CLOCK_MARGIN = 0.025;

/** Allows for the rounding of times when the lender computes the end of a lease. */
export const LENDER_ROUNDING_MS = 1;

/**
 * Scales the refill down, because a clock that runs 1% fast would otherwise produce 1% more tokens than the rate
 * allows.
 */
export const REFILL_FACTOR = 0.99;

/** Longest time that a request waits for a token before it is denied. */
export const MAX_TOKEN_WAIT_MS = 100;

/** Longest lease time of a sublease, which covers the tokens that a holder lends to a borrower. */
const MAX_SUBLEASE_MS = 1_000;

/** Ratio of the lease time of a share to that of a sublease: a sublease ends well before the lease that covers it. */
const SUBLEASES_PER_LEASE = 3;

/** Tolerance for the rounding of fractions and token counts; far below one token of any burst. */
export const ROUNDING_TOLERANCE = 1e-9;

/**
 * Computes how long a lender treats capacity as lent, in milliseconds after the grant. This is longer than the lease
 * time of the borrower, so that the lender never reuses capacity that the borrower may still use.
 * @param leaseMs - Lease time in the grant to the borrower, in milliseconds.
 */
export function computeLenderLeaseMs(leaseMs: number): number {
  return leaseMs * (1 + LENDER_CLOCK_MARGIN) + LENDER_ROUNDING_MS;
}

/**
 * Computes the lease time of a sublease, in milliseconds.
 * @param shareLeaseMs - Lease time of whole shares, in milliseconds.
 */
export function computeSubleaseMs(shareLeaseMs: number): number {
  return Math.min(MAX_SUBLEASE_MS, shareLeaseMs / SUBLEASES_PER_LEASE);
}
