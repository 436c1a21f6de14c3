import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '../../src/core/random/random_source.js';

/** Randomness that repeats with its seed. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number in [0, limit). */
  integerBelow(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  floatBetween(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  integerBetween(low: number, high: number): number {
    return Math.floor(this.floatBetween(low, high + 1));
  }

  /** A gap of a Poisson process with this mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}
