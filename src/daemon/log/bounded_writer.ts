/** Bytes that may wait for a slow reader. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Writes bytes and calls `done` afterwards; must not block. */
type Append = (text: string, done: () => void) => void;

/**
 * Writes lines one batch at a time. What a slow reader does not take is dropped
 * and counted, so that logging never holds up the process.
 */
export class BoundedWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private dropped = 0;
  private totalDropped = 0;

  constructor(
    private readonly append: Append,
    private readonly maxBytes = MAX_WAITING_BYTES,
  ) {}

  /** Lines that were dropped since the start. */
  get droppedLines(): number {
    return this.totalDropped;
  }

  write(line: string): void {
    if (this.waitingBytes + line.length > this.maxBytes) {
      this.dropped += 1;
      this.totalDropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    if (this.dropped > 0) {
      const fields = {level: 'warn', message: 'log_dropped'};
      this.waiting.push(
        `${JSON.stringify({...fields, lines: this.dropped})}\n`,
      );
      this.dropped = 0;
    }
    if (this.waiting.length === 0) return;
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    this.isWriting = true;
    this.append(text, () => {
      this.isWriting = false;
      this.flush();
    });
  }
}
