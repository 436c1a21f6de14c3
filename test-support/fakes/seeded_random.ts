import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '../../src/core/random/random_source.js';

/** Randomness that a seed repeats. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number in [0, limit). */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }
}
