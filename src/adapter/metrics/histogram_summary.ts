/** Figures of one histogram since the daemon started; times in ms. */
export interface HistogramSummary {
  readonly measure: 'response' | 'queue';
  readonly by: 'class' | 'tenant';
  readonly name: string;
  readonly count: number;
  readonly mean_ms: number;
  readonly p50_ms: number;
  readonly p90_ms: number;
  readonly p99_ms: number;
  readonly max_ms: number;
}
