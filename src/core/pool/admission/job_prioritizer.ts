import type {ActiveJob} from '../job/active_job.js';
import type {RunTimes} from '../placement/run_times.js';

/** Exceeds the remaining work of any job. */
const LATE_PENALTY_MS = 1e9;

interface Keyed {
  readonly job: ActiveJob;
  readonly key: number;
  /** Keeps jobs with equal keys in the order of their arrival. */
  readonly order: number;
}

/** Jobs with waiting tasks, and the smallest demand for CPU of each service. */
interface WaitingJobs {
  readonly jobs: readonly ActiveJob[];
  readonly minCpu: ReadonlyMap<string, number>;
}

/** Orders jobs: those that can still be on time first, then by remaining work. */
export class JobPrioritizer {
  constructor(private readonly times: RunTimes) {}

  /** Finds the jobs with waiting tasks, in no order. */
  findWaiting(jobs: Iterable<ActiveJob>, now: number): WaitingJobs {
    const waiting: ActiveJob[] = [];
    const minCpu = new Map<string, number>();
    for (const job of jobs) {
      if (job.isAbandoned || now < job.earliestStartAt) continue;
      const cpu = minWaitingCpu(job);
      if (cpu === Number.POSITIVE_INFINITY) continue;
      waiting.push(job);
      const {service} = job.queue;
      minCpu.set(service, Math.min(cpu, minCpu.get(service) ?? cpu));
    }
    return {jobs: waiting, minCpu};
  }

  /** Returns the jobs with waiting tasks, highest priority first. */
  sort(jobs: Iterable<ActiveJob>, now: number): ActiveJob[] {
    return [...this.inOrder(this.findWaiting(jobs, now).jobs, now)];
  }

  /**
   * Yields the jobs by priority. With a heap, the first ones cost little: a full
   * fleet has room for few of the jobs that wait.
   */
  *inOrder(waiting: readonly ActiveJob[], now: number): Iterable<ActiveJob> {
    const heap = waiting.map((job, order) => ({
      job,
      key: this.priorityKey(job, now),
      order,
    }));
    for (let at = (heap.length >> 1) - 1; at >= 0; at -= 1) siftDown(heap, at);
    while (heap.length > 0) {
      const first = heap[0]!;
      const last = heap.pop()!;
      if (heap.length > 0) {
        heap[0] = last;
        siftDown(heap, 0);
      }
      yield first.job;
    }
  }

  private priorityKey(job: ActiveJob, now: number): number {
    const endsAt = now + this.times.remainingMs(job);
    const workMs = this.times.remainingWorkMs(job);
    if (endsAt <= job.objectiveAt) return workMs;
    // What a late job has had done is lost unless the rest follows soon.
    const isWorthFinishing = job.hasStarted && endsAt <= job.usefulUntil;
    return workMs + (isWorthFinishing ? 0 : LATE_PENALTY_MS);
  }
}

/** Smallest demand for CPU of the waiting tasks; infinite if none waits. */
function minWaitingCpu({tasks, spec}: ActiveJob): number {
  let cpu = Number.POSITIVE_INFINITY;
  for (const {state, step} of tasks) {
    if (state !== 'waiting') continue;
    cpu = Math.min(cpu, spec.steps[step]!.demand.cpu);
    if (spec.steps.length === 1) break;
  }
  return cpu;
}

function siftDown(heap: Keyed[], from: number): void {
  const moved = heap[from]!;
  let at = from;
  for (;;) {
    let child = 2 * at + 1;
    if (child >= heap.length) break;
    const right = child + 1;
    if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
      child = right;
    }
    if (!isBefore(heap[child]!, moved)) break;
    heap[at] = heap[child]!;
    at = child;
  }
  heap[at] = moved;
}

function isBefore(a: Keyed, b: Keyed): boolean {
  return a.key < b.key || (a.key === b.key && a.order < b.order);
}
