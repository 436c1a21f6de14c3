/** Source of random numbers; tests use a seeded one. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
}
