import type {Clock} from '../../clock/clock.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import {PoolAdmission} from '../admission/pool_admission.js';
import type {CrashWatch} from '../crashes/crash_watch.js';
import {ActiveJob} from '../job/active_job.js';
import type {PoolAnswer} from '../job/pool_answer.js';
import type {PoolJobs} from '../job/pool_jobs.js';
import type {PoolSubmission} from '../job/pool_submission.js';
import type {DispatcherLending} from '../lending/dispatcher_lending.js';
import type {StartableWorkers} from '../placement/startable_workers.js';
import type {PoolObserver} from '../pool_observer.js';
import type {Takeover} from './takeover.js';
import type {WorkerFleet} from './worker_fleet.js';

/** Time in which a dispatcher is expected to have the newest configuration. */
const RETRY_MS = 1_000;

interface JobIntakeOptions {
  readonly clock: Clock;
  readonly jobs: PoolJobs;
  readonly workers: WorkerFleet;
  readonly startable: StartableWorkers;
  readonly takeover: Takeover;
  readonly crashes: CrashWatch;
  readonly lending: DispatcherLending;
  readonly routing: () => RoutingTable | undefined;
  /** Default: it always is. */
  readonly isConfigCurrent?: ((now: number) => boolean) | undefined;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  readonly observer: PoolObserver;
}

/** From whom and when a job was received. */
interface Receipt {
  readonly owner: string;
  /** Current fencing token. */
  readonly token: number;
  readonly contactAt: number | undefined;
  readonly now: number;
}

/** What applied when a job was accepted. */
interface AcceptedWith {
  readonly revision: number;
  readonly token: number;
  /** Whether the job may have run before it was sent again. */
  readonly wasSentAgain: boolean;
}

/** Turns submissions into jobs of the dispatcher, or answers them at once. */
export class JobIntake {
  private readonly admission = new PoolAdmission();

  constructor(private readonly opts: JobIntakeOptions) {}

  /** Returns the new job, or undefined if it was refused or redirected. */
  accept(submission: PoolSubmission, receipt: Receipt): ActiveJob | undefined {
    const {owner, token, now} = receipt;
    const {jobs, lending, takeover, crashes, workers, routing} = this.opts;
    const {job: spec, host, path} = submission;
    if (lending.redirectAgain(owner, submission, now)) return undefined;
    const table = routing();
    const queue = table?.find(host, path);
    const revision = table?.content.revision ?? -1;
    if (!table || revision < (submission.revision ?? 0)) {
      jobs.refuse(owner, spec.id, 'no_configuration', RETRY_MS);
      return undefined;
    }
    if (!queue || queue.prefix + spec.id !== path) {
      const {isConfigCurrent = () => true} = this.opts;
      if (!isConfigCurrent(now)) {
        jobs.refuse(owner, spec.id, 'configuration_unconfirmed', RETRY_MS);
        return undefined;
      }
      this.opts.observer.recordJobEvent('queue_unknown', spec.id, {
        ...{owner, host, revision, token},
        stated_revision: submission.revision,
      });
      this.opts.answer(owner, spec.id, {kind: 'no_queue'});
      return undefined;
    }
    if (queue.needsAdvice) {
      jobs.refuse(owner, spec.id, 'advice_not_supported', 5_000);
      return undefined;
    }
    const job = new ActiveJob(submission, {...receipt, queue});
    takeover.adopt([job], workers.all, now);
    crashes.restore(job, submission.losses ?? []);
    const wasSentAgain = jobs.mayHaveRun(spec.id);
    job.isTraced ||= wasSentAgain;
    if (!job.hasStarted && this.refuse(job, now)) return undefined;
    jobs.add(job);
    this.recordAccepted(job, {revision, token, wasSentAgain});
    return job;
  }

  /** Refuses or moves a job that is not admitted; returns whether it did. */
  private refuse(job: ActiveJob, now: number): boolean {
    const {jobs, lending, workers, observer} = this.opts;
    const refusal = this.checkAdmission(job, now);
    if (!refusal) return false;
    const {reason, retryAfterMs} = refusal;
    if (lending.moveRefused(job, reason, workers.all, now)) return true;
    if (job.isLent) observer.incrementCounter('lent_refused');
    jobs.refuse(job.owner, job.spec.id, reason, retryAfterMs, job);
    return true;
  }

  /** Returns why a job is refused; undefined if it is admitted. */
  private checkAdmission(job: ActiveJob, now: number) {
    const {jobs, startable, takeover, workers} = this.opts;
    return this.admission.check(job, {
      openJobs: jobs.size,
      workers: startable.remaining(workers.all),
      // Existing workers may not have reported to a new dispatcher yet.
      mayMoreReport: !takeover.areWorkersKnown(now),
    });
  }

  private recordAccepted(
    job: ActiveJob,
    {revision, token, wasSentAgain}: AcceptedWith,
  ): void {
    const {jobs, observer} = this.opts;
    const {spec, queue, owner, tasks, isLent} = job;
    if (isLent) observer.incrementCounter('jobs_lent_in');
    observer.recordJobEvent('job_accepted', spec.id, {
      queue: queue.name,
      owner,
      tasks: tasks.length,
      open: jobs.size,
      revision,
      token,
      // Left out of the lines of ordinary jobs.
      ...(job.isTraced && {
        was_sent_again: wasSentAgain,
        earlier_node: job.earlierNode,
        earlier_token: job.earlierToken,
        settle_ms: Math.round(job.settlesAt - job.acceptedAt),
      }),
    });
  }
}
