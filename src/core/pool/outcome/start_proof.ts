import type {LeasedWorker} from '../lease/leased_worker.js';
import type {WorkerReport} from '../registry/worker_report.js';

/**
 * Time within which the workers of a takeover reply. Refusals wait for it, so it
 * is far below the time for which callers wait.
 */
const DECISION_MS = 400;
/**
 * Time after the last order of the predecessor within which a caller may send a
 * job again that ran under it: 1.5 s until the caller gives up waiting, 1.3 s
 * until it sends, and a margin.
 */
const RESEND_MS = 3_000;
/** Time within which a worker that joins may have been used before. */
const DISCOVERY_MS = 4_000;

interface StartProofOptions {
  readonly startedAt: number;
  /** Latest time at which an earlier dispatcher can have sent an order. */
  readonly lastOrderAt: number;
  /** Workers that the predecessor could use. */
  readonly workers: readonly WorkerReport[];
  /** See Predecessor. */
  readonly recordCompleteUntil: number;
  /** Called when the proof is complete or has failed. */
  readonly onDecided: (reason: string, isProved: boolean) => void;
}

/**
 * Proof, for one takeover, that a job of which nothing is known has not started
 * under an earlier dispatcher. Each worker that the predecessor could use must
 * have listed its runs under the successor's token, in the same process as
 * before; from then on it refuses the predecessor's orders. Ends that had been
 * acknowledged by then must be in the record of the predecessor's starts.
 */
export class StartProof {
  private state: 'open' | 'proved' | 'failed' = 'open';
  /** Process start times of the workers that have not replied yet, by id. */
  private readonly awaited: Map<string, number>;
  private readonly ids: ReadonlySet<string>;
  /** Time up to which a job that comes in may have run before. */
  private doubtfulUntil: number;

  constructor(private readonly opts: StartProofOptions) {
    const {workers, lastOrderAt} = opts;
    this.awaited = new Map(workers.map(({id, bornAt}) => [id, bornAt]));
    this.ids = new Set(this.awaited.keys());
    this.doubtfulUntil = lastOrderAt + RESEND_MS;
  }

  /** Whether the workers' replies are still awaited. */
  get isOpen(): boolean {
    return this.state === 'open';
  }

  /** Whether a job of which nothing is known has not started. */
  get isProved(): boolean {
    return this.state === 'proved';
  }

  /**
   * Whether a job of which nothing is known may have run under an earlier
   * dispatcher, to which another entry node submitted it.
   */
  isInDoubt(now: number): boolean {
    return !this.isProved && now < this.doubtfulUntil;
  }

  /** Evaluates the workers' replies; `workers` are all workers known now. */
  update(workers: readonly LeasedWorker[], now: number): void {
    const {startedAt} = this.opts;
    if (this.state === 'failed' || now - startedAt > DISCOVERY_MS) return;
    if (workers.some(w => !this.ids.has(w.report.id))) {
      // The predecessor may have used it, and its list was not awaited.
      this.decide('failed', 'worker_unknown');
      return;
    }
    if (this.state === 'proved') return;
    const byId = new Map(workers.map(w => [w.report.id, w]));
    for (const [id, bornAt] of this.awaited) {
      const worker = byId.get(id);
      if (!worker) return this.decide('failed', 'worker_left');
      if (!worker.instance.isListed) continue;
      if (worker.instance.bornAt !== bornAt || bornAt === 0) {
        return this.decide('failed', 'worker_restarted');
      }
      this.awaited.delete(id);
    }
    if (this.awaited.size === 0) this.conclude(now);
    else if (now - startedAt >= DECISION_MS) this.decide('failed', 'no_reply');
  }

  /**
   * Ends the validity of the proof: another dispatcher has used workers, and its
   * runs may not be known.
   */
  invalidate(now: number): void {
    this.doubtfulUntil = now + RESEND_MS;
    if (this.state !== 'failed') this.decide('failed', 'token_raised');
  }

  private conclude(now: number): void {
    const {lastOrderAt, recordCompleteUntil} = this.opts;
    // After its list, a worker refuses the predecessor's orders.
    if (Math.min(lastOrderAt, now) <= recordCompleteUntil) {
      this.decide('proved', 'complete');
    } else this.decide('failed', 'record_incomplete');
  }

  private decide(state: 'proved' | 'failed', reason: string): void {
    this.state = state;
    this.opts.onDecided(reason, state === 'proved');
  }
}
