import type {SeededRandom} from './seeded_random.js';

/**
 * Delays of event loops, in ms, that were measured on an overloaded machine. The
 * first is not 0, so that simulated time goes on.
 */
const QUANTILES: ReadonlyArray<readonly [number, number]> = [
  [0, 1],
  [0.5, 400],
  [0.9, 1_200],
  [1, 2_000],
];

/** Draws the delay of an event loop on an overloaded machine, in ms. */
export function overloadLagMs(random: SeededRandom): number {
  const quantile = random.next();
  const above = QUANTILES.findIndex(([share]) => quantile < share);
  const [share, ms] = QUANTILES[above]!;
  const [shareBefore, msBefore] = QUANTILES[above - 1]!;
  const part = (quantile - shareBefore) / (share - shareBefore);
  return msBefore + part * (ms - msBefore);
}
