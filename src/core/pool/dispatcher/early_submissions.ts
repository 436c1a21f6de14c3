import type {PoolSubmission} from '../job/pool_submission.js';

/** Time within which a new configuration reaches all core nodes. */
const MAX_WAIT_MS = 500;

interface EarlySubmission {
  readonly owner: string;
  readonly submission: PoolSubmission;
  readonly since: number;
}

/** Jobs submitted before their configuration has reached the dispatcher. */
export class EarlySubmissions {
  private readonly byId = new Map<string, EarlySubmission>();

  add(owner: string, submission: PoolSubmission, now: number): void {
    const {id} = submission.job;
    const since = this.byId.get(id)?.since ?? now;
    this.byId.set(id, {owner, submission, since});
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
   * Removes and returns the jobs, with their owners, that `revision` suffices for
   * or that have waited long enough; the dispatcher refuses the latter.
   */
  take(revision: number, now: number): Array<[string, PoolSubmission]> {
    const taken: Array<[string, PoolSubmission]> = [];
    for (const [id, {owner, submission, since}] of this.byId) {
      const isCurrent = revision >= (submission.revision ?? 0);
      const waitedMs = now - since;
      if (!isCurrent && waitedMs < MAX_WAIT_MS) continue;
      this.byId.delete(id);
      taken.push([owner, addWait(submission, waitedMs)]);
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
