import type {RandomSource} from '../core/random/random_source.js';

/**
 * Random numbers of the JavaScript engine. They are predictable and must not be
 * used for secrets.
 */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}
