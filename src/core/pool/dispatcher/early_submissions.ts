import type {PoolSubmission} from '../job/pool_submission.js';
import type {ReceivedSubmission} from './received_submission.js';

/** Time within which a new configuration reaches all core nodes. */
const MAX_WAIT_MS = 500;

interface Waiting extends ReceivedSubmission {
  readonly since: number;
}

/** Jobs submitted before their configuration has reached the dispatcher. */
export class EarlySubmissions {
  private readonly byId = new Map<string, Waiting>();

  add(early: ReceivedSubmission, now: number): void {
    const {id} = early.submission.job;
    const since = this.byId.get(id)?.since ?? now;
    this.byId.set(id, {...early, since});
  }

  /** Records that the entry node of a job held its request at `contactAt`. */
  recordContact(owner: string, id: string, contactAt: number): void {
    const known = this.byId.get(id);
    if (known?.owner === owner) this.byId.set(id, {...known, contactAt});
  }

  has(id: string): boolean {
    return this.byId.has(id);
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
   * Removes and returns the jobs that `revision` suffices for or that have waited
   * long enough; the dispatcher refuses the latter.
   */
  take(revision: number, now: number): ReceivedSubmission[] {
    const taken: ReceivedSubmission[] = [];
    for (const [id, {owner, submission, contactAt, since}] of this.byId) {
      const isCurrent = revision >= (submission.revision ?? 0);
      const waitedMs = now - since;
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
