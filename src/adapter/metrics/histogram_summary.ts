/** Summary of one histogram since the start of the daemon; times in ms. */
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
