/** Source of randomness; a seeded one makes a session repeatable. */
export interface RandomSource {
  /** Uniform number in [0, 1). */
  next(): number;
}
