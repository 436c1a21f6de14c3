import {Result} from 'true-myth';
import type {ClassConfig} from '../config/class_config.js';
import type {ConfigSource} from '../config/config_source.js';
import type {Replicator} from '../group/replicator.js';
import type {JobKey} from '../job/job_key.js';
import type {JobSpec} from '../job/job_spec.js';
import type {JobTable} from '../job/job_table.js';
import type {Refusal} from '../job/refusal.js';
import {RunOutcome} from '../job/run_outcome.js';
import {ZoneWorker} from '../overflow/zone_worker.js';
import type {WorkerRegistry} from '../worker/worker_registry.js';
import type {ActiveJob} from './active_job.js';
import type {DispatchPolicy} from './dispatch_policy.js';
import type {FleetView} from './fleet_view.js';

/** Maximum difference between this node's clock and the time of a new key. */
const MAX_CLOCK_SKEW_MS = 2_000;
/** Retention of a job record, counted from the time in its key. */
const RETENTION_MS = 600_000;
const EXPIRY_INTERVAL_MS = 5_000;
/** Minimum time that an answer is kept: the longest wait of a caller. */
const ANSWER_GRACE_MS = 60_000;
/** Covers the restart of the only worker that has capacity for a task. */
const UNPLACEABLE_MS = 10_000;
/** Fingerprint of a job that was cancelled before it was submitted. */
const NO_BODY = '';

interface SubmissionGateOptions {
  readonly table: JobTable;
  readonly replicator: Replicator;
  readonly registry: WorkerRegistry;
  readonly policy: DispatchPolicy;
  readonly config: ConfigSource;
}

/** Validates submissions and decides when job records expire. */
export class SubmissionGate {
  static readonly MAX_CLOCK_SKEW_MS = MAX_CLOCK_SKEW_MS;
  static readonly RETENTION_MS = RETENTION_MS;

  private nextExpiry = 0;
  private nextStuckCheck = 0;

  constructor(private readonly opts: SubmissionGateOptions) {}

  /** Accepts a submission under a known key if it has the same body. */
  join(known: JobSpec, spec: JobSpec): Result<void, Refusal> {
    const isSame = known.fingerprint === spec.fingerprint;
    if (isSame || known.fingerprint === NO_BODY) return Result.ok(undefined);
    return refuse({
      code: 'conflict',
      outcome: RunOutcome.notRun,
      detail: 'the key was already used for a submission with another body',
    });
  }

  /** Validates a new job; returns the settings of its class. */
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
    const reason = this.explainUnplaceable(spec, config);
    if (reason !== undefined) {
      return refuse({
        code: 'unplaceable',
        outcome: RunOutcome.notRun,
        detail: reason,
      });
    }
    if (spec.lentTo !== undefined && !this.hasSpareSlot(fleet)) {
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
   * Refuses a key whose record may have expired, because the job may already
   * have run, and a key whose time is too far in the future.
   */
  checkAge(key: JobKey, now: number): Result<void, Refusal> {
    if (key.timeMs > now + MAX_CLOCK_SKEW_MS) {
      return refuse({
        code: 'invalid',
        outcome: RunOutcome.notRun,
        detail: "the key's time is in the future; take one from POST /v1/keys",
      });
    }
    const retainedAfter = this.opts.replicator.memoryStart + MAX_CLOCK_SKEW_MS;
    const isRetained =
      key.timeMs >= now - RETENTION_MS && key.timeMs > retainedAfter;
    if (isRetained) return Result.ok(undefined);
    return refuse({
      code: 'expired',
      outcome: RunOutcome.unknown,
      detail: 'the key is older than the job records that the zone retains',
    });
  }

  /** Creates the record of a job that is cancelled before its submission. */
  createTombstone(key: JobKey, now: number): JobSpec {
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
   * Returns the keys of records to drop, or nothing if called again within the
   * interval. A record is kept until its key can no longer be accepted as new.
   */
  expiredKeys(now: number, isActive: (key: string) => boolean): string[] {
    if (now < this.nextExpiry) return [];
    this.nextExpiry = now + EXPIRY_INTERVAL_MS;
    const oldest = now - RETENTION_MS - MAX_CLOCK_SKEW_MS;
    const keys: string[] = [];
    for (const key of this.opts.table.keysCreatedBefore(oldest)) {
      if (isActive(key)) continue;
      const finishedAt = this.opts.table.get(key)?.finishedAt;
      // The final state may be uncommitted, or a caller may be reading it.
      if (finishedAt === undefined || finishedAt > now - ANSWER_GRACE_MS) {
        continue;
      }
      keys.push(key);
    }
    return keys;
  }

  /**
   * Returns the jobs that cannot complete, with the reasons, or nothing if
   * called again within the interval.
   */
  findStuckJobs(
    jobs: Iterable<ActiveJob>,
    now: number,
  ): Array<{readonly job: ActiveJob; readonly reason: string}> {
    if (now < this.nextStuckCheck) return [];
    this.nextStuckCheck = now + EXPIRY_INTERVAL_MS;
    const found = [];
    for (const job of jobs) {
      const reason = job.ended ? undefined : this.findFailureReason(job, now);
      if (reason !== undefined) found.push({job, reason});
    }
    return found;
  }

  /**
   * Reason why a job must fail; undefined if it can go on. Each job ends at the
   * latest when the retention of its key ends, because its answer cannot be
   * fetched later.
   */
  private findFailureReason(job: ActiveJob, now: number): string | undefined {
    const {spec, config} = job;
    if (now > spec.keyTimeMs + RETENTION_MS) {
      return 'the retention period of the key has ended';
    }
    if (this.isStuckInEvacuation(job)) return 'the zone is evacuated';
    const reason = this.explainUnplaceable(
      spec,
      config,
      index => job.queued.has(index) || job.inBackoff.has(index),
    );
    if (reason === undefined) {
      job.unplaceableSince = undefined;
      return undefined;
    }
    job.unplaceableSince ??= now;
    return now - job.unplaceableSince >= UNPLACEABLE_MS ? reason : undefined;
  }

  /**
   * Whether a task of another zone waits here while nothing is started. It is
   * not passed on to a third zone, so its home has to start it elsewhere.
   */
  private isStuckInEvacuation({spec, queued, attempts}: ActiveJob): boolean {
    const {registry} = this.opts;
    if (spec.lentTo === undefined || queued.size === 0) return false;
    if (attempts.size > 0) return false;
    const workers = [...registry.list()].filter(w => !ZoneWorker.isZone(w.id));
    return workers.length > 0 && workers.every(w => registry.isWithheld(w));
  }

  /** A zone lends only slots that its own queued tasks do not need. */
  private hasSpareSlot(fleet: FleetView): boolean {
    return this.opts.policy.queued < fleet.freeSlots;
  }

  /** Describes a task that fits no registered worker; undefined if none. */
  private explainUnplaceable(
    spec: JobSpec,
    config: ClassConfig,
    isIncluded = (_index: number) => true,
  ): string | undefined {
    const {registry} = this.opts;
    // Without workers the available sizes are unknown, so the job is queued.
    if (registry.size === 0) return undefined;
    const sizes = largestByAccelerators(spec, config, isIncluded);
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
 * Task with the largest memory for each number of accelerators. If a worker has
 * capacity for it, it has capacity for the other tasks with that number too.
 */
function largestByAccelerators(
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
