import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';

interface SizeBand {
  readonly share: number;
  readonly low: number;
  readonly high: number;
}

/** Jobs by size: most are small, one in 200 has up to 840 tasks. */
const SIZES: readonly SizeBand[] = [
  {share: 0.6, low: 1, high: 1},
  {share: 0.35, low: 2, high: 20},
  {share: 0.045, low: 21, high: 200},
  {share: 0.005, low: 201, high: 840},
];
const LONG_SHARE = 0.02;
const SHORT_MS = [50, 1_000] as const;
const LONG_MS = [2_000, 5_000] as const;

/** How many tasks the jobs have and how long the tasks run. */
export class TaskMix {
  /** Tasks of 50 ms to 1 s, 2% of them 2 s to 5 s, in jobs of up to 840. */
  static readonly usual = new TaskMix(SIZES, LONG_SHARE, SHORT_MS, LONG_MS);

  constructor(
    private readonly sizes: readonly SizeBand[],
    private readonly longShare: number,
    private readonly shortMs: readonly [number, number],
    private readonly longMs: readonly [number, number],
  ) {}

  /** A mix of jobs of `low` to `high` tasks with equal run time ranges. */
  static of(
    size: readonly [number, number],
    runMs: readonly [number, number],
  ): TaskMix {
    const [low, high] = size;
    return new TaskMix([{share: 1, low, high}], 0, runMs, runMs);
  }

  get meanTasks(): number {
    return this.sizes.reduce(
      (sum, {share, low, high}) => sum + (share * (low + high)) / 2,
      0,
    );
  }

  get meanRunMs(): number {
    const {longShare, shortMs, longMs} = this;
    const mean = ([low, high]: readonly [number, number]) => (low + high) / 2;
    return (1 - longShare) * mean(shortMs) + longShare * mean(longMs);
  }

  /** Run times of the tasks of one job. */
  draw(random: SeededRandom): number[] {
    let rest = random.next();
    let band = this.sizes[0]!;
    for (band of this.sizes) {
      rest -= band.share;
      if (rest < 0) break;
    }
    const count = random.integerBetween(band.low, band.high);
    return Array.from({length: count}, () => this.runMs(random));
  }

  private runMs(random: SeededRandom): number {
    const isLong = random.next() < this.longShare;
    const [low, high] = isLong ? this.longMs : this.shortMs;
    return random.floatBetween(low, high);
  }
}
