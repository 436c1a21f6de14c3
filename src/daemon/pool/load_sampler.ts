import type {LoopMonitor} from './loop_monitor.js';
import type {PoolTelemetry} from './pool_telemetry.js';

/** Interval of the log lines. */
const SAMPLE_MS = 5_000;

interface LoadSamplerOptions {
  readonly telemetry: PoolTelemetry;
  readonly loop: LoopMonitor;
  /** Processor time that the process has used, in ms. */
  readonly processorMs: () => number;
}

/**
 * Logs every few seconds what a process has done and how busy it was, so that
 * the log shows where time went when no metrics were collected.
 */
export class LoadSampler {
  private sampledAt: number | undefined;
  private processorMs = 0;
  private counts: ReadonlyMap<string, number> = new Map();

  constructor(private readonly opts: LoadSamplerOptions) {}

  /** `openJobs` is the number of jobs that the process has now. */
  tick(now: number, openJobs: number): void {
    const {sampledAt} = this;
    if (sampledAt !== undefined && now - sampledAt < SAMPLE_MS) return;
    const {telemetry, loop} = this.opts;
    const processorMs = this.opts.processorMs();
    const counts = new Map(telemetry.counts);
    const maxDelayMs = loop.takeMaxMs();
    if (sampledAt !== undefined) {
      const elapsedMs = now - sampledAt;
      const usedMs = processorMs - this.processorMs;
      telemetry.recordStateChange('load_sampled', {
        elapsed_ms: Math.round(elapsedMs),
        processor: Number((usedMs / elapsedMs).toFixed(3)),
        max_delay_ms: Math.round(maxDelayMs),
        open: openJobs,
        counts: difference(counts, this.counts),
      });
    }
    this.sampledAt = now;
    this.processorMs = processorMs;
    this.counts = counts;
  }
}

/** Events that have occurred since an earlier count. */
function difference(
  counts: ReadonlyMap<string, number>,
  before: ReadonlyMap<string, number>,
): Readonly<Record<string, number>> {
  const entries = [...counts]
    .map(([event, count]) => [event, count - (before.get(event) ?? 0)] as const)
    .filter(([, count]) => count > 0);
  return Object.fromEntries(entries);
}
