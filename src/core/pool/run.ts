import type {Resources} from './resources.js';

/** One start of a task on a worker, until it is known to be over. */
export class Run {
  /** End of the lease that the start carried, on the worker's clock. */
  startLeaseEnd = 0;
  /** How long it is expected to take; 0 if that is not known. */
  expectedMs = 0;
  /** When the worker confirmed the start; undefined while that is open. */
  confirmedAt: number | undefined;
  /** Whether the answer to the start order was lost. */
  isDoubtful = false;
  /** When a stop was asked for; undefined if none was. */
  stopAskedAt: number | undefined;
  /** When the worker confirmed the stop. */
  stoppedAt: number | undefined;

  constructor(
    readonly task: string,
    readonly number: number,
    readonly demand: Resources,
    readonly sentAt: number,
  ) {}

  /** A run that a worker lists and that this lead has not started. */
  static listed(
    task: string,
    number: number,
    demand: Resources,
    now: number,
  ): Run {
    const run = new Run(task, number, demand, now);
    run.confirmedAt = now;
    return run;
  }
}
