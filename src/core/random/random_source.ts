/** Source of randomness; tests pass a seeded one. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
}
