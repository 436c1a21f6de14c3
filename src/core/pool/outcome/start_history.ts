import {RecentStarts} from '../job/recent_starts.js';
import {RecordTiming} from './record_timing.js';

/**
 * Time without a gap in the messages of one dispatcher after which its history
 * is complete. Longer than the age up to which an entry node accepts a proof,
 * and than a caller needs to send a job again (1.5 s until it gives up waiting,
 * 1.3 s until it sends).
 */
const COMPLETE_AFTER_MS = 5_000;
/** Tolerance for the delay of a message. */
const DELAY_TOLERANCE_MS = 150;
const MAX_AGE_MS = RecordTiming.HOLD_MS - DELAY_TOLERANCE_MS;

interface StartBatch {
  /** Fencing token of the dispatcher. */
  readonly token: number;
  /** Number of the batch under the token; increases by one. */
  readonly number: number;
  /** Jobs of which workers have listed ended runs since the last batch. */
  readonly jobs: readonly string[];
  /** Fingerprint of the workers that the dispatcher may use. */
  readonly workers: number;
  /** Whether new workers are used only some time after they were announced. */
  readonly isSettled: boolean;
  /** Whether ends are held for the confirmation of this node; see RecordTiming. */
  readonly isAwaited: boolean;
}

/**
 * Record of the jobs that other dispatchers have started, from their messages
 * `pool.starts`. Together with the runs that the workers list, it tells a
 * successor which jobs may have run.
 */
export class StartHistory {
  private readonly starts = new RecentStarts();
  private last: (StartBatch & {readonly from: string}) | undefined;
  private lastAt = Number.NEGATIVE_INFINITY;
  private completeSince = Number.POSITIVE_INFINITY;

  /** Jobs of which a task was started recently. */
  get jobs(): Iterable<string> {
    return this.starts.ids;
  }

  /** Records a batch of a dispatcher. */
  receive(from: string, batch: StartBatch, now: number): void {
    const {last} = this;
    const isNext =
      last?.from === from &&
      last.token === batch.token &&
      last.number + 1 === batch.number;
    const {isSettled, isAwaited} = batch;
    const isInTime = now - this.lastAt <= MAX_AGE_MS;
    const isContinued = isNext && isSettled && isAwaited && isInTime;
    if (!isContinued || this.completeSince === Number.POSITIVE_INFINITY) {
      this.completeSince = now;
    }
    this.last = {...batch, from};
    this.lastAt = now;
    for (const id of batch.jobs) this.starts.record(id, now);
    this.starts.expire(now);
  }

  /**
   * Latest time of a predecessor's last order for which the record is complete:
   * a job that neither it nor a worker's list contains was not started. Negative
   * infinity if the record is not complete. `workers` is the fingerprint of the
   * workers known here.
   */
  completeUntil(workers: number, now: number): number {
    const isComplete =
      this.last?.workers === workers &&
      now - this.completeSince >= COMPLETE_AFTER_MS;
    return isComplete ? this.lastAt + MAX_AGE_MS : Number.NEGATIVE_INFINITY;
  }
}
