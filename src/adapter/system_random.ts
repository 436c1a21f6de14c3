import type {RandomSource} from '../core/random/random_source.js';

/** Randomness of the JavaScript engine; nothing secret is made from it. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}
