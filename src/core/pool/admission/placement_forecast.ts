/** A task that waits for a worker, as the forecast sees it. */
interface WaitingTask<Job> {
  readonly job: Job;
  readonly cpu: number;
  /** Run time on a worker of normal speed. */
  readonly runMs: number;
  /** The task is not placed if it cannot end by then. */
  readonly endsBy: number;
}

interface Release {
  readonly at: number;
  readonly worker: number;
  readonly cpu: number;
}

/**
 * Unplaced tasks that are tried on released capacity. Demands differ little, so
 * one of the first ones nearly always fits.
 */
const MAX_TRIED = 32;

/**
 * Predicts when waiting tasks start: it replays the ends of the runs and places
 * each task, in the given order, on the first worker that has room for it.
 */
export class PlacementForecast<Job> {
  /** Free CPU of each worker. */
  private readonly free: number[] = [];
  /** Slowness of each worker; 1 is normal. */
  private readonly slowness: number[] = [];
  private minSlowness = Number.POSITIVE_INFINITY;
  /** Binary heap of the predicted ends of runs, by time. */
  private readonly releases: Release[] = [];
  private readonly missed = new Set<Job>();
  private readonly stuck = new Set<Job>();
  private lastStartAt: number;

  constructor(private readonly now: number) {
    this.lastStartAt = now;
  }

  /** Adds a worker with its free CPU, fast ones first; returns its number. */
  addWorker(freeCpu: number, slowness = 1): number {
    this.slowness.push(slowness);
    this.minSlowness = Math.min(this.minSlowness, slowness);
    return this.free.push(freeCpu) - 1;
  }

  /** Adds a run of a worker, which releases its CPU at the end. */
  addRun(worker: number, cpu: number, endsAt: number): void {
    this.pushRelease({at: Math.max(endsAt, this.now), worker, cpu});
  }

  /** Jobs of which a task would end too late. */
  findMissed(tasks: ReadonlyArray<WaitingTask<Job>>): ReadonlySet<Job> {
    let waiting = this.placeOnFreeWorkers(tasks);
    while (waiting.length > 0) {
      const release = this.popRelease();
      if (!release) break;
      this.free[release.worker]! += release.cpu;
      waiting = this.placeOnWorker(waiting, release.worker, release.at);
    }
    for (const {job} of waiting) this.stuck.add(job);
    return this.missed;
  }

  /** Jobs of which a task fits on no worker, even after the ends of all runs. */
  get unplaceable(): ReadonlySet<Job> {
    return this.stuck;
  }

  /** Expected time until the last of the tasks starts, in ms. */
  get clearInMs(): number {
    return this.lastStartAt - this.now;
  }

  private placeOnFreeWorkers(
    tasks: ReadonlyArray<WaitingTask<Job>>,
  ): Array<WaitingTask<Job>> {
    const minCpu = tasks.reduce((min, t) => Math.min(min, t.cpu), Infinity);
    const open = [...this.free.keys()].filter(at => this.free[at]! >= minCpu);
    return tasks.filter(task => {
      if (this.isTooLate(task, this.now)) return false;
      const at = open.findIndex(worker => this.fits(task, worker, this.now));
      if (at < 0) return true;
      const worker = open[at]!;
      this.place(task, worker, this.now);
      if (this.free[worker]! < minCpu) open.splice(at, 1);
      return false;
    });
  }

  /** Returns the tasks that still wait. */
  private placeOnWorker(
    tasks: Array<WaitingTask<Job>>,
    worker: number,
    at: number,
  ): Array<WaitingTask<Job>> {
    let tried = 0;
    for (let index = 0; index < tasks.length && tried < MAX_TRIED;) {
      const task = tasks[index]!;
      const fits = this.fits(task, worker, at);
      if (this.isTooLate(task, at)) tasks.splice(index, 1);
      else if (fits) {
        this.place(task, worker, at);
        tasks.splice(index, 1);
      } else {
        tried += 1;
        index += 1;
      }
    }
    return tasks;
  }

  /** Whether the worker has room and is fast enough. */
  private fits(task: WaitingTask<Job>, worker: number, at: number): boolean {
    const {cpu, runMs, endsBy} = task;
    if (this.free[worker]! < cpu) return false;
    return at + runMs * this.slowness[worker]! <= endsBy;
  }

  /** Whether the task would end too late even on the fastest worker. */
  private isTooLate({job, runMs, endsBy}: WaitingTask<Job>, at: number) {
    if (at + runMs * this.minSlowness > endsBy) this.missed.add(job);
    return this.missed.has(job);
  }

  private place({cpu, runMs}: WaitingTask<Job>, worker: number, at: number) {
    this.free[worker]! -= cpu;
    this.lastStartAt = Math.max(this.lastStartAt, at);
    const endsAt = at + runMs * this.slowness[worker]!;
    this.pushRelease({at: endsAt, worker, cpu});
  }

  private pushRelease(release: Release): void {
    const heap = this.releases;
    let at = heap.push(release) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (heap[parent]!.at <= release.at) break;
      heap[at] = heap[parent]!;
      at = parent;
    }
    heap[at] = release;
  }

  private popRelease(): Release | undefined {
    const heap = this.releases;
    const [first] = heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return first;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right && right.at < heap[child]!.at) child += 1;
      if (heap[child]!.at >= last.at) break;
      heap[at] = heap[child]!;
      at = child;
    }
    heap[at] = last;
    return first;
  }
}
