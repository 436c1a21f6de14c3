import type {ConsolaInstance} from 'consola';
import type {Clock} from '../core/clock/clock.js';

const RETRY_MS = 500;
/** Interval at which a port that stays unavailable is logged again. */
const LOG_INTERVAL_MS = 10_000;
/** Errors that end when another process exits or the address is configured. */
const TEMPORARY_ERRORS: ReadonlySet<unknown> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
]);

interface PortOpenerOptions {
  readonly clock: Clock;
  readonly log: ConsolaInstance;
}

/**
 * Opens the ports of a process. A port that another process has is tried again
 * until it is free, while the rest of the process works.
 */
export class PortOpener {
  private isClosed = false;

  constructor(private readonly opts: PortOpenerOptions) {}

  /**
   * Resolves after the first attempt; rejects if the port can never be opened, for
   * example because the settings name an invalid address.
   */
  async open(port: string, listen: () => Promise<void>): Promise<void> {
    await this.attempt(port, listen, Number.NEGATIVE_INFINITY);
  }

  /** Stops trying. */
  close(): void {
    this.isClosed = true;
  }

  private async attempt(
    port: string,
    listen: () => Promise<void>,
    loggedAt: number,
  ): Promise<void> {
    if (this.isClosed) return;
    const {clock, log} = this.opts;
    const now = clock.now();
    const isFirst = loggedAt === Number.NEGATIVE_INFINITY;
    const isLogDue = now - loggedAt >= LOG_INTERVAL_MS;
    try {
      await listen();
      if (!isFirst) log.info('port_opened', {port});
    } catch (err) {
      const {code} = err as NodeJS.ErrnoException;
      if (isFirst && !TEMPORARY_ERRORS.has(code)) throw err;
      if (isLogDue) log.error('port_unavailable', {port, detail: String(err)});
      const nextLoggedAt = isLogDue ? now : loggedAt;
      clock.schedule(RETRY_MS, () => {
        void this.attempt(port, listen, nextLoggedAt);
      });
    }
  }
}
