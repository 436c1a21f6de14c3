import type {Clock} from '../../core/clock/clock.js';

/** Maximum size of the queue of lines that a slow reader has not taken yet. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Writes a batch of lines and calls `done` afterwards; must not block. */
type WriteBatch = (text: string, done: () => void) => void;

interface Batching {
  readonly clock: Clock;
  /** Time for which a line waits for others that share its write. */
  readonly delayMs: number;
}

/**
 * Writes lines one batch at a time. Lines that do not fit into the queue of a
 * slow reader are dropped and counted, so that logging never blocks the process.
 */
export class BoundedWriter {
  private queue: string[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private isFlushDue = false;
  private dropped = 0;
  private totalDropped = 0;

  constructor(
    private readonly writeBatch: WriteBatch,
    private readonly maxBytes = MAX_QUEUED_BYTES,
    /** Default: a line is written at once unless a write is in progress. */
    private readonly batching?: Batching,
  ) {}

  /** Number of lines dropped since the start. */
  get droppedLines(): number {
    return this.totalDropped;
  }

  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.queuedBytes + bytes > this.maxBytes) {
      this.dropped += 1;
      this.totalDropped += 1;
      return;
    }
    this.queue.push(line);
    this.queuedBytes += bytes;
    if (!this.isWriting) this.flushSoon();
  }

  /** Removes and returns the lines to write at exit; none during a write. */
  takeRest(): string {
    if (this.isWriting) return '';
    const text = this.queue.join('');
    this.queue = [];
    this.queuedBytes = 0;
    return text;
  }

  private flushSoon(): void {
    const {batching} = this;
    if (!batching) return this.flush();
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    batching.clock.schedule(batching.delayMs, () => {
      this.isFlushDue = false;
      this.flush();
    });
  }

  private flush(): void {
    if (this.dropped > 0) {
      const fields = {level: 'warn', message: 'log_dropped'};
      this.queue.push(`${JSON.stringify({...fields, lines: this.dropped})}\n`);
      this.dropped = 0;
    }
    if (this.queue.length === 0) return;
    const text = this.queue.join('');
    this.queue = [];
    this.queuedBytes = 0;
    this.isWriting = true;
    this.writeBatch(text, () => {
      this.isWriting = false;
      if (this.queue.length > 0 || this.dropped > 0) this.flushSoon();
    });
  }
}
