import {StatsD} from 'hot-shots';

/** Fits into one Ethernet frame, so that datagrams are not fragmented. */
const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

interface MetricSinkOptions {
  readonly host: string;
  readonly port: number;
  /** Prefix of every metric name. */
  readonly prefix: string;
  /** Tags added to every metric. */
  readonly tags: Readonly<Record<string, string>>;
  readonly onError: (detail: string) => void;
}

/** Sends metrics to a StatsD server over UDP, batched into datagrams. */
export class MetricSink {
  private readonly client: StatsD;

  constructor(opts: MetricSinkOptions) {
    this.client = new StatsD({
      host: opts.host,
      port: opts.port,
      prefix: opts.prefix,
      globalTags: {...opts.tags},
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      errorHandler: err => opts.onError(String(err)),
    });
  }

  timing(name: string, ms: number, tags: Record<string, string>): void {
    this.client.timing(name, ms, tags);
  }

  increment(name: string, tags: Record<string, string>): void {
    this.client.increment(name, 1, tags);
  }

  gauge(name: string, value: number): void {
    this.client.gauge(name, value);
  }

  /** Sends the buffered metrics and closes the client. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => this.client.close(() => resolve()));
  }
}
