import type {Cancellable} from '../../core/clock/cancellable.js';
import type {Clock} from '../../core/clock/clock.js';
import type {DispatchObserver} from '../../core/dispatch/dispatch_observer.js';
import {HistogramSet} from './histogram_set.js';
import {MetricSink} from './metric_sink.js';
import {MetricsObserver} from './metrics_observer.js';

const GAUGE_INTERVAL_MS = 10_000;

interface TelemetryOptions {
  /** StatsD server; if undefined, no metrics are sent. */
  readonly statsd?: {readonly host: string; readonly port: number} | undefined;
  readonly prefix: string;
  readonly tags: Readonly<Record<string, string>>;
  readonly maxSeries: number;
  readonly clock: Clock;
  readonly onError: (detail: string) => void;
}

/** Histograms of a daemon, and its metrics if a StatsD server is configured. */
export class Telemetry {
  readonly histograms: HistogramSet;
  readonly observer: DispatchObserver;
  private readonly sink: MetricSink | undefined;
  private timer: Cancellable | undefined;
  private readStatus: () => object = () => ({});

  constructor(private readonly opts: TelemetryOptions) {
    this.histograms = new HistogramSet(opts.maxSeries);
    this.sink = opts.statsd && new MetricSink({...opts, ...opts.statsd});
    this.observer = new MetricsObserver(this.histograms, this.sink);
  }

  /** Periodically sends the numeric fields of `status` as gauges. */
  reportGauges(status: () => object): void {
    this.readStatus = status;
  }

  async start(): Promise<void> {
    if (this.sink) this.schedule();
  }

  async stop(): Promise<void> {
    this.timer?.cancel();
    await this.sink?.close();
  }

  private schedule(): void {
    this.timer = this.opts.clock.schedule(GAUGE_INTERVAL_MS, () => {
      for (const [name, value] of Object.entries(this.readStatus())) {
        if (typeof value === 'number') this.sink?.gauge(name, value);
      }
      this.schedule();
    });
  }
}
