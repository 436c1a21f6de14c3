import {Result} from 'true-myth';
import type {ClassConfig} from '../config/class_config.js';
import type {ConfigSource} from '../config/config_source.js';
import type {Replicator} from '../group/replicator.js';
import type {JobKey} from '../job/job_key.js';
import type {JobSpec} from '../job/job_spec.js';
import type {JobTable} from '../job/job_table.js';
import type {Refusal} from '../job/refusal.js';
import {RunOutcome} from '../job/run_outcome.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import type {ActiveJob} from './active_job.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {FleetView} from './fleet_view.js';

/** How far a key's clock may differ from this node's. */
const MAX_CLOCK_SKEW_MS = 2_000;
/** How long a job is remembered, counted from the time in its key. */
const RETENTION_MS = 600_000;
const EXPIRY_INTERVAL_MS = 5_000;
/** Longest wait of a caller; an answer is kept at least that long. */
const ANSWER_GRACE_MS = 60_000;
/** Covers the restart of a worker that alone can hold a task. */
const UNPLACEABLE_MS = 10_000;
/** Marks a record that a cancel made before any submission came. */
const NO_BODY = '';

interface SubmissionGateOptions {
  readonly table: JobTable;
  readonly replicator: Replicator;
  readonly registry: WorkerRegistry;
  readonly policy: DispatchPolicy;
  readonly config: ConfigSource;
}

/** Decides whether a submission is new, known, too old or not to be served. */
export class SubmissionGate {
  static readonly MAX_CLOCK_SKEW_MS = MAX_CLOCK_SKEW_MS;
  static readonly RETENTION_MS = RETENTION_MS;

  private nextExpiry = 0;
  private nextSweep = 0;

  constructor(private readonly opts: SubmissionGateOptions) {}

  /** Joins a submission whose key is known. */
  join(known: JobSpec, spec: JobSpec): Result<void, Refusal> {
    const isSame = known.fingerprint === spec.fingerprint;
    if (isSame || known.fingerprint === NO_BODY) return Result.ok(undefined);
    return refuse({
      code: 'conflict',
      outcome: RunOutcome.notRun,
      detail: 'the key belongs to a submission with another body',
    });
  }

  /** The class of a new job that may be queued. */
  admit(
    key: JobKey,
    spec: JobSpec,
    fleet: FleetView,
    now: number,
  ): Result<ClassConfig, Refusal> {
    const age = this.checkAge(key, now);
    if (age.isErr) return Result.err(age.error);
    const config = this.opts.config.current().classes[spec.className];
    if (!config) {
      return refuse({
        code: 'unknown_class',
        outcome: RunOutcome.notRun,
        detail: `there is no class "${spec.className}"`,
      });
    }
    const obstacle = this.findUnplaceable(spec, config);
    if (obstacle !== undefined) {
      return refuse({
        code: 'unplaceable',
        outcome: RunOutcome.notRun,
        detail: obstacle,
      });
    }
    if (spec.lentTo !== undefined && !this.isSpare(fleet)) {
      return refuse({
        code: 'overloaded',
        outcome: RunOutcome.notRun,
        detail: 'the zone has no spare slot',
      });
    }
    const admission = this.opts.policy.admit(spec, config, fleet, now);
    if (admission.admitted) return Result.ok(config);
    return refuse({
      code: 'overloaded',
      outcome: RunOutcome.notRun,
      detail: admission.detail,
      retryAfterMs: admission.retryAfterMs,
    });
  }

  /**
   * Refuses a key that the group may have known and forgotten: such a job must
   * not run again.
   */
  checkAge(key: JobKey, now: number): Result<void, Refusal> {
    if (key.timeMs > now + MAX_CLOCK_SKEW_MS) {
      return refuse({
        code: 'invalid',
        outcome: RunOutcome.notRun,
        detail: "the key's time is in the future; take one from POST /v1/keys",
      });
    }
    const remembersAfter = this.opts.replicator.memoryStart + MAX_CLOCK_SKEW_MS;
    const isRemembered =
      key.timeMs >= now - RETENTION_MS && key.timeMs > remembersAfter;
    if (isRemembered) return Result.ok(undefined);
    return refuse({
      code: 'expired',
      outcome: RunOutcome.unknown,
      detail: 'the key is older than what the zone remembers',
    });
  }

  /** The record of a cancel that came before its submission. */
  tombstone(key: JobKey, now: number): JobSpec {
    return {
      key: key.text,
      keyTimeMs: key.timeMs,
      className: '',
      tenant: '',
      repeatable: false,
      tasks: [],
      fingerprint: NO_BODY,
      submittedAt: now,
    };
  }

  /**
   * Keys past their retention, at most once per interval. A record outlives the
   * last time at which its key would be accepted as new.
   */
  expiredKeys(now: number, isActive: (key: string) => boolean): string[] {
    if (now < this.nextExpiry) return [];
    this.nextExpiry = now + EXPIRY_INTERVAL_MS;
    const oldest = now - RETENTION_MS - MAX_CLOCK_SKEW_MS;
    const keys: string[] = [];
    for (const key of this.opts.table.keysCreatedBefore(oldest)) {
      if (isActive(key)) continue;
      const finishedAt = this.opts.table.get(key)?.finishedAt;
      // The final state may be proposed but not committed, or just be read.
      if (finishedAt === undefined || finishedAt > now - ANSWER_GRACE_MS) {
        continue;
      }
      keys.push(key);
    }
    return keys;
  }

  /** Jobs that cannot end by themselves, at most once per interval. */
  endless(
    jobs: Iterable<ActiveJob>,
    now: number,
  ): Array<{readonly job: ActiveJob; readonly reason: string}> {
    if (now < this.nextSweep) return [];
    this.nextSweep = now + EXPIRY_INTERVAL_MS;
    const found = [];
    for (const job of jobs) {
      const reason = job.ended ? undefined : this.findObstacle(job, now);
      if (reason !== undefined) found.push({job, reason});
    }
    return found;
  }

  /**
   * Every job ends at the latest with the retention of its key, since its
   * answer cannot be fetched later.
   */
  private findObstacle(job: ActiveJob, now: number): string | undefined {
    const {spec, config} = job;
    if (now > spec.keyTimeMs + RETENTION_MS) {
      return 'the retention period of the key has ended';
    }
    const obstacle = this.findUnplaceable(
      spec,
      config,
      index => job.queued.has(index) || job.paused.has(index),
    );
    if (obstacle === undefined) {
      job.unplaceableSince = undefined;
      return undefined;
    }
    job.unplaceableSince ??= now;
    return now - job.unplaceableSince >= UNPLACEABLE_MS ? obstacle : undefined;
  }

  /** A zone lends only slots that none of its own tasks waits for. */
  private isSpare(fleet: FleetView): boolean {
    return this.opts.policy.queued < fleet.freeSlots;
  }

  private findUnplaceable(
    spec: JobSpec,
    config: ClassConfig,
    isIncluded = (_index: number) => true,
  ): string | undefined {
    const {registry} = this.opts;
    // Without any worker nothing is known about sizes; the job waits.
    if (registry.size === 0) return undefined;
    const sizes = largest(spec, config, isIncluded);
    for (const [accelerators, {index, memoryMb}] of sizes) {
      if (registry.isPlaceable(config.name, memoryMb, accelerators)) continue;
      return (
        `no worker could hold task ${index} of class "${config.name}" with ` +
        `${memoryMb} MB and ${accelerators} accelerators`
      );
    }
    return undefined;
  }
}

function refuse<T>(refusal: Refusal): Result<T, Refusal> {
  return Result.err(refusal);
}

/**
 * The task with the most memory for each number of accelerators; if a worker
 * could hold it, the other tasks with that number fit as well.
 */
function largest(
  {tasks}: JobSpec,
  config: ClassConfig,
  isIncluded: (index: number) => boolean,
): Map<number, {readonly index: number; readonly memoryMb: number}> {
  const found = new Map<number, {index: number; memoryMb: number}>();
  tasks.forEach((task, index) => {
    if (!isIncluded(index)) return;
    const memoryMb = task.memory_mb ?? config.memory_mb;
    const accelerators = task.accelerators ?? config.accelerators;
    const known = found.get(accelerators);
    if (known && known.memoryMb >= memoryMb) return;
    found.set(accelerators, {index, memoryMb});
  });
  return found;
}
