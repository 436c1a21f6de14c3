import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomSource} from '../../src/core/random/random_source.js';

/** Pseudo-random numbers that are reproducible from a seed. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer in [0, limit). */
  integerBelow(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** A number in [low, high). */
  floatBetween(low: number, high: number): number {
    return low + (high - low) * this.next();
  }

  /** An integer in [low, high]. */
  integerBetween(low: number, high: number): number {
    return Math.floor(this.floatBetween(low, high + 1));
  }

  /** An exponentially distributed number, as between Poisson arrivals. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}
