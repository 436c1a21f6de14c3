import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import type {HistogramSummary} from './histogram_summary.js';

/** One hour; longer times are recorded as this value. */
const MAX_TIME_MS = 3_600_000;
const SIGNIFICANT_DIGITS = 2;
/** Name of the shared series; not a valid name of a class or tenant. */
const OTHER_NAME = '(other)';

type Measure = HistogramSummary['measure'];
type Grouping = HistogramSummary['by'];

interface Series {
  readonly measure: Measure;
  readonly by: Grouping;
  readonly name: string;
  readonly histogram: Histogram;
}

/**
 * Time histograms per class and per tenant. The number of series is limited,
 * because callers choose tenant names; names beyond the limit share one series
 * per measure and grouping.
 */
export class HistogramSet {
  private readonly series = new Map<string, Series>();

  /** @param maxSeries Limit of series, excluding the shared ones. */
  constructor(private readonly maxSeries: number) {}

  record(measure: Measure, by: Grouping, name: string, ms: number): void {
    const {histogram} = this.getSeries(measure, by, name);
    const value = Math.min(MAX_TIME_MS, Math.max(0, Math.round(ms)));
    histogram.recordValue(value);
  }

  summaries(): HistogramSummary[] {
    return [...this.series.values()].map(
      ({measure, by, name, histogram: h}) => ({
        measure,
        by,
        name,
        count: h.totalCount,
        mean_ms: Math.round(h.mean),
        p50_ms: percentile(h, 50),
        p90_ms: percentile(h, 90),
        p99_ms: percentile(h, 99),
        max_ms: h.maxValue,
      }),
    );
  }

  private getSeries(measure: Measure, by: Grouping, name: string): Series {
    const key = `${measure}/${by}/${name}`;
    const existing = this.series.get(key);
    if (existing) return existing;
    if (this.series.size >= this.maxSeries && name !== OTHER_NAME) {
      return this.getSeries(measure, by, OTHER_NAME);
    }
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_TIME_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    const series = {measure, by, name, histogram};
    this.series.set(key, series);
    return series;
  }
}

/** Upper bound of the bucket, limited to the recorded maximum. */
function percentile(histogram: Histogram, percent: number): number {
  return Math.min(histogram.getValueAtPercentile(percent), histogram.maxValue);
}
