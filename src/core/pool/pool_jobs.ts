import type {HopelessJobs} from './hopeless_jobs.js';
import type {PoolAnswer} from './pool_answer.js';
import type {PoolEntry} from './pool_entry.js';
import type {PoolObserver} from './pool_observer.js';
import type {PoolTask} from './pool_task.js';
import {retryAfterMs} from './retry_after.js';

/** A backlog that makes jobs too late is gone after this time. */
const RETRY_LATE_MS = 2_000;
const RETRY_DEADLINE_MS = 1_000;

interface PoolJobsOptions {
  readonly hopeless: HopelessJobs;
  readonly answer: (owner: string, id: string, answer: PoolAnswer) => void;
  readonly observer: PoolObserver;
}

/** The jobs of one dispatcher, each until it is answered and nothing runs. */
export class PoolJobs {
  private readonly byId = new Map<string, PoolEntry>();

  constructor(private readonly opts: PoolJobsOptions) {}

  get size(): number {
    return this.byId.size;
  }

  get all(): Iterable<PoolEntry> {
    return this.byId.values();
  }

  get(id: string): PoolEntry | undefined {
    return this.byId.get(id);
  }

  add(entry: PoolEntry): void {
    this.byId.set(entry.job.id, entry);
  }

  clear(): void {
    this.byId.clear();
  }

  taskOf(name: string): PoolTask | undefined {
    const id = name.slice(0, name.indexOf('.'));
    return this.byId.get(id)?.tasks.find(t => t.name === name);
  }

  /**
   * Answers that nothing of a job has run or will run. `clearInMs` tells when
   * the reason is expected to be over.
   */
  refuse(owner: string, id: string, reason: string, clearInMs: number): void {
    const {observer, answer} = this.opts;
    const retryMs = retryAfterMs(id, clearInMs);
    observer.recordJobEvent('job_refused', id, {
      owner,
      reason,
      open: this.size,
      clear_in_ms: Math.round(clearInMs),
      retry_after_ms: retryMs,
    });
    observer.incrementCounter(`refused_${reason}`);
    answer(owner, id, {kind: 'refused', reason, retryAfterMs: retryMs});
  }

  /** Refuses a job of which nothing has started and that would be too late. */
  refuseLate(entry: PoolEntry, clearInMs: number): void {
    this.refuse(entry.owner, entry.job.id, 'too_late', clearInMs);
    this.abandon(entry);
  }

  /** Stops what runs of a job that nobody waits for any more. */
  abandon(entry: PoolEntry): void {
    entry.isAbandoned = true;
    for (const {run, worker} of entry.tasks) {
      if (run && worker) worker.stop(run);
    }
    this.forgetIfOver(entry);
  }

  /** Answers a job that is done or has failed; called after each change. */
  finishIfDone(entry: PoolEntry, now: number): void {
    if (entry.isAbandoned) {
      this.forgetIfOver(entry);
      return;
    }
    const {isDone, isFailed} = entry;
    if (isDone || isFailed) this.finish(entry, isDone, now);
  }

  /** Ends what its caller no longer waits for. */
  expire(now: number): void {
    for (const entry of this.opts.hopeless.find(this.all, now)) {
      this.refuseLate(entry, RETRY_LATE_MS);
    }
    for (const entry of [...this.all]) {
      if (entry.isAbandoned || now < entry.deadlineAt) continue;
      const {owner, job} = entry;
      if (entry.hasStarted) {
        this.opts.observer.recordJobEvent('job_expired', job.id, {owner});
        const reason = 'deadline';
        this.opts.answer(owner, job.id, {kind: 'given_up', reason});
      } else this.refuse(owner, job.id, 'deadline', RETRY_DEADLINE_MS);
      this.abandon(entry);
    }
  }

  private forgetIfOver(entry: PoolEntry): void {
    if (!entry.isAbandoned || entry.hasRuns) return;
    this.byId.delete(entry.job.id);
  }

  private finish(entry: PoolEntry, isDone: boolean, now: number): void {
    const {owner, job, queue, arrivedAt, objectiveAt} = entry;
    const kind = isDone ? 'completed' : 'failed';
    const {answer, observer} = this.opts;
    observer.recordJobEvent(`job_${kind}`, job.id, {
      queue: queue.name,
      took_ms: Math.round(now - arrivedAt),
      late_ms: Math.max(0, Math.round(now - objectiveAt)),
    });
    observer.recordResponseTime(queue.name, kind, now - arrivedAt);
    answer(owner, job.id, {kind});
    this.abandon(entry);
  }
}
