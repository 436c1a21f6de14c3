import type {RoutingTable} from '../../routing/routing_table.js';
import {CancelledJobs} from '../job/cancelled_jobs.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolSubmission} from '../job/pool_submission.js';

interface CancelledSubmissionsOptions {
  readonly routing: () => RoutingTable | undefined;
  /** Whether a majority confirms the configuration of this node. */
  readonly isConfigCurrent: (now: number) => boolean;
}

/**
 * Answers submissions of cancelled jobs in place of the dispatcher. A request may
 * arrive, or be submitted again, after the cancel of its job was answered.
 */
export class CancelledSubmissions {
  private readonly jobs = new CancelledJobs();

  constructor(private readonly opts: CancelledSubmissionsOptions) {}

  /** Records the cancel of a job, known or not. */
  add(id: string, now: number): void {
    this.jobs.add(id, now);
  }

  /** Answer to a submission; undefined if its job was not cancelled. */
  answerTo(submission: PoolSubmission, now: number): PoolAnswer | undefined {
    const {job, host, path, revision = 0} = submission;
    if (!this.jobs.has(job.id, now)) return undefined;
    const table = this.opts.routing();
    const isTableRecent = (table?.content.revision ?? -1) >= revision;
    const queue = table?.find(host, path);
    if (isTableRecent && queue && queue.prefix + job.id === path) {
      return {kind: 'cancelled'};
    }
    // A removed queue is denied by those alone that know all changes.
    return isTableRecent && this.opts.isConfigCurrent(now)
      ? {kind: 'no_queue'}
      : {kind: 'given_up', reason: 'cancelled'};
  }
}
