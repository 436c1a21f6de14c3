import {JobContact} from '../job/job_contact.js';
import {LeaseTiming} from './lease_timing.js';
import type {Resources} from '../registry/resources.js';
import type {RunWorkload} from './run_workload.js';

/** One execution of a task on a worker, until it is known to have ended. */
export class Run {
  /** End of the lease in the start order, on the worker's clock. */
  startLeaseEnd = 0;
  /** From which the run time is expected; undefined if the job is not known. */
  workload: RunWorkload | undefined;
  /** Whether another dispatcher started the run, at an unknown time. */
  isAdopted = false;
  /** When the worker confirmed the start; undefined until then. */
  confirmedAt: number | undefined;
  /** Whether no reply to the start order was received. */
  isStartReplyLost = false;
  /** Whether the connection for the start order was refused: it was not sent. */
  isStartRefused = false;
  /** Whether the task may crash its worker; see CrashPolicy. */
  isSuspect = false;
  /** Whether its end is logged in any case. */
  isTraced = false;
  /** When a stop was requested; undefined if none was. */
  stopRequestedAt: number | undefined;
  /** When the worker confirmed the stop. */
  stoppedAt: number | undefined;

  constructor(
    readonly task: string,
    readonly number: number,
    readonly demand: Resources,
    readonly sentAt: number,
    /** Contact with the entry node of the job. */
    readonly job: JobContact = JobContact.permanent,
  ) {}

  /** Whether the reply to a stop is overdue, so that it has to be repeated. */
  isStopOverdue(now: number): boolean {
    const {stopRequestedAt, stoppedAt} = this;
    if (stopRequestedAt === undefined || stoppedAt !== undefined) return false;
    return stopRequestedAt < now - LeaseTiming.STOP_RETRY_MS;
  }

  /** Creates a run that another dispatcher started and the worker reported. */
  static adopted(
    task: string,
    number: number,
    demand: Resources,
    now: number,
    job?: JobContact,
  ): Run {
    const run = new Run(task, number, demand, now, job);
    run.confirmedAt = now;
    run.isAdopted = true;
    run.isTraced = true;
    return run;
  }
}
