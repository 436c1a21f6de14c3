import type {PoolSubmission} from '../job/pool_submission.js';
import {FailoverTiming} from '../node/failover_timing.js';
import type {ReceivedSubmission} from './received_submission.js';

/** Time within which a new configuration reaches all core nodes. */
const MAX_WAIT_MS = 500;

interface EarlySubmission extends Omit<ReceivedSubmission, 'contactAt'> {
  /** See JobContact; undefined until the entry node has confirmed the job. */
  readonly contactAt: number | undefined;
}

interface Waiting extends EarlySubmission {
  readonly since: number;
}

/**
 * Jobs submitted before their configuration has reached the dispatcher, or without
 * proof that their entry node still holds the request.
 */
export class EarlySubmissions {
  private readonly byId = new Map<string, Waiting>();

  add(early: EarlySubmission, now: number): void {
    const {id} = early.submission.job;
    // Its times count from now, not from the arrival of a submission it replaces.
    this.byId.set(id, {...early, since: now});
  }

  /** Records that the entry node of a job held its request at `contactAt`. */
  recordContact(owner: string, id: string, contactAt: number): void {
    const known = this.byId.get(id);
    if (known?.owner === owner) this.byId.set(id, {...known, contactAt});
  }

  get(id: string): EarlySubmission | undefined {
    return this.byId.get(id);
  }

  has(id: string): boolean {
    return this.byId.has(id);
  }

  /** Whether a job waits for its entry node to confirm it. */
  isUnconfirmed(id: string): boolean {
    const known = this.byId.get(id);
    return known !== undefined && known.contactAt === undefined;
  }

  /** Entry nodes of the jobs. */
  get owners(): string[] {
    return [...this.byId.values()].map(({owner}) => owner);
  }

  delete(id: string): void {
    this.byId.delete(id);
  }

  /** Entry node that submitted a job; undefined if it is not known. */
  ownerOf(id: string): string | undefined {
    return this.byId.get(id)?.owner;
  }

  clear(): void {
    this.byId.clear();
  }

  /**
   * Removes and returns the confirmed jobs that `revision` suffices for or that have
   * waited long enough; the dispatcher refuses the latter. Also removes those that
   * were not confirmed in time, which their entry nodes no longer hold.
   */
  take(revision: number, now: number): ReceivedSubmission[] {
    const taken: ReceivedSubmission[] = [];
    for (const [id, {owner, submission, contactAt, since}] of this.byId) {
      const isCurrent = revision >= (submission.revision ?? 0);
      const waitedMs = now - since;
      if (contactAt === undefined) {
        const isOver = waitedMs > FailoverTiming.OWNER_TIMEOUT_MS;
        if (isOver) this.byId.delete(id);
        continue;
      }
      if (!isCurrent && waitedMs < MAX_WAIT_MS) continue;
      this.byId.delete(id);
      const waited = addWait(submission, waitedMs);
      taken.push({owner, submission: waited, contactAt});
    }
    return taken;
  }
}

/** Moves the time that a job has waited here into its submission. */
function addWait(submission: PoolSubmission, waitedMs: number): PoolSubmission {
  const {patienceMs, settleMs = 0} = submission;
  return {
    ...submission,
    waitedMs: submission.waitedMs + waitedMs,
    patienceMs: Math.max(0, patienceMs - waitedMs),
    // The job still counts as one that an earlier dispatcher had.
    settleMs: settleMs > 0 ? Math.max(1, settleMs - waitedMs) : 0,
  };
}
