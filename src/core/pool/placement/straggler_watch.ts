import type {ActiveJob} from '../job/active_job.js';
import type {RunTimes} from './run_times.js';

/** Timeout of a run, as a multiple of the 98th percentile of run times. */
const TIMEOUT_FACTOR = 2;
/** Factor by which the timeout of a task grows with each stopped run. */
const TIMEOUT_GROWTH = 4;
/** Added to every timeout, so that short runs are not stopped. */
const MIN_TIMEOUT_MS = 150;
/** Samples that a queue needs for its 98th percentile to be used. */
const MIN_SAMPLES = 30;

/** Stops runs that take far longer than other runs of their queue. */
export class StragglerWatch {
  constructor(private readonly times: RunTimes) {}

  /** Infinite until the queue has enough samples. */
  private p98RatioOf(queue: string): number {
    const ratios = this.times.ratiosOf(queue);
    if (ratios.count < MIN_SAMPLES) return Number.POSITIVE_INFINITY;
    return ratios.quantile(0.98);
  }

  stopStragglers(jobs: Iterable<ActiveJob>, now: number): void {
    const ratios = new Map<string, number>();
    for (const {tasks, queue, spec, isAbandoned} of jobs) {
      if (isAbandoned) continue;
      const known = ratios.get(queue.name);
      const ratio = known ?? this.p98RatioOf(queue.name);
      ratios.set(queue.name, ratio);
      for (const task of tasks) {
        const {run, worker} = task;
        if (!run || !worker || run.stopRequestedAt !== undefined) continue;
        const {estimatedMs} = spec.steps[task.step]!;
        const longMs = estimatedMs * ratio;
        // The task itself may be long, so each further run gets more time.
        const factor = TIMEOUT_FACTOR * TIMEOUT_GROWTH ** task.stragglerStops;
        if (now - run.sentAt <= MIN_TIMEOUT_MS + factor * longMs) continue;
        task.stragglerStops += 1;
        worker.stop(run);
      }
    }
  }
}
