import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {ClassFailures} from './class_failures.js';
import type {RunningAttempt} from './running_attempt.js';
import type {WorkerState} from './worker_state.js';

/** Failure score at which a worker is ejected. */
const EJECTION_SCORE = 3;
/** Bounds the failure score, so that successes soon lower it again. */
const MAX_FAILURE_SCORE = 6;
/**
 * Delay from an ejection to the first probe; doubles with each failed probe.
 */
const FIRST_PROBE_MS = 10_000;
const MAX_PROBE_MS = 300_000;
/**
 * A task that must not run twice probes only after this multiple of the delay,
 * because it is lost if the probe fails.
 */
const NON_REPEATABLE_PROBE_FACTOR = 3;
/** Largest share of the fleet that is ejected at the same time. */
const MAX_EJECTED_SHARE = 0.2;
/** Weight of a new sample in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.05;
/** Bounds the effect of one long task on the moving average. */
const MAX_SLOWNESS_SAMPLE = 4;
/** Lower values are within the usual variation of run times. */
const MIN_SLOWNESS = 1.5;
/** Retains the health of some workers that have left, also in small fleets. */
const PRUNE_ALLOWANCE = 64;

interface Health {
  readonly incarnation: string;
  /** Failure score: failures, weighted by class, minus successes. */
  score: number;
  /** Moving average of run time / mean run time of the class; 1 is normal. */
  slowness: number;
  isEjected: boolean;
  /** Epoch milliseconds of the next probe of an ejected worker. */
  probeAt: number;
  probeDelayMs: number;
  /** Id of the attempt that probes the worker. */
  probe: string | undefined;
}

/**
 * Detects workers that fail tasks or are slow. A worker that fails every task
 * replies fast and appears idle, so it would attract tasks. It is therefore
 * ejected by its failures and probed from time to time with a single task.
 * Failures count less if the class also fails on other workers.
 */
export class WorkerHealth {
  private readonly workers = new Map<string, Health>();
  private readonly classes = new Map<string, ClassFailures>();
  private ejected = 0;

  /** Number of workers that are ejected. */
  get ejectedCount(): number {
    return this.ejected;
  }

  isEjected(worker: WorkerState): boolean {
    return this.currentHealth(worker)?.isEjected === true;
  }

  /** Expected run time on this worker / mean run time; at least 1. */
  slownessOf(worker: WorkerState): number {
    const slowness = this.currentHealth(worker)?.slowness ?? 1;
    return slowness < MIN_SLOWNESS ? 1 : slowness;
  }

  /** Number of slots to use, which is lower on a slow worker. */
  slotLimit(worker: WorkerState): number {
    const {slots} = worker.announcement;
    return Math.max(1, Math.floor(slots / this.slownessOf(worker)));
  }

  /** Whether the worker is ejected and due for a probe by such a task. */
  mayProbe(worker: WorkerState, isRepeatable: boolean, now: number): boolean {
    const health = this.currentHealth(worker);
    if (!health?.isEjected || health.probe !== undefined) return false;
    const extra = isRepeatable ? 0 : NON_REPEATABLE_PROBE_FACTOR - 1;
    return now >= health.probeAt + extra * health.probeDelayMs;
  }

  started(attempt: RunningAttempt): void {
    const health = this.healthOf(attempt);
    if (health.isEjected) health.probe ??= attempt.id;
  }

  /**
   * Records the end of an attempt. `expectedMs` is the mean run time of the
   * class and `fleetSize` the number of workers with a lease.
   */
  ended(
    attempt: RunningAttempt,
    outcome: AttemptOutcome,
    expectedMs: number,
    fleetSize: number,
    now: number,
  ): void {
    const health = this.healthOf(attempt);
    const isProbe = health.probe === attempt.id;
    if (isProbe) health.probe = undefined;
    if (!countsForHealth(attempt, outcome)) return;
    const isSuccess = outcome.kind === 'succeeded';
    const failures = this.classFailures(attempt.className);
    failures.record(attempt.worker, !isSuccess, fleetSize);
    if (isSuccess) this.updateSpeed(health, (now - attempt.since) / expectedMs);
    if (isProbe) {
      this.recordProbe(health, isSuccess, now);
    } else if (isSuccess) {
      health.score = Math.max(0, health.score - 1);
    } else {
      const weight = 1 - failures.shareOfOthers(attempt.worker);
      health.score = Math.min(MAX_FAILURE_SCORE, health.score + weight);
      if (health.score >= EJECTION_SCORE) this.eject(health, fleetSize, now);
    }
    this.prune(fleetSize);
  }

  /** Forgets a worker, whose health is then recorded anew. */
  forget(worker: string): void {
    if (this.workers.get(worker)?.isEjected) this.ejected -= 1;
    this.workers.delete(worker);
  }

  reset(): void {
    this.workers.clear();
    this.classes.clear();
    this.ejected = 0;
  }

  private recordProbe(health: Health, isSuccess: boolean, now: number): void {
    if (!health.isEjected) return;
    if (isSuccess) {
      health.isEjected = false;
      // One more failure ejects it again.
      health.score = EJECTION_SCORE - 1;
      this.ejected -= 1;
      return;
    }
    health.probeDelayMs = Math.min(MAX_PROBE_MS, 2 * health.probeDelayMs);
    health.probeAt = now + health.probeDelayMs;
  }

  private eject(health: Health, fleetSize: number, now: number): void {
    if (health.isEjected) return;
    const maxEjected = Math.max(
      fleetSize > 2 ? 1 : 0,
      MAX_EJECTED_SHARE * fleetSize,
    );
    if (this.ejected + 1 > maxEjected) return;
    health.isEjected = true;
    health.probe = undefined;
    health.probeAt = now + health.probeDelayMs;
    this.ejected += 1;
  }

  private updateSpeed(health: Health, ratio: number): void {
    const bounded = Math.min(MAX_SLOWNESS_SAMPLE, ratio);
    health.slowness += SLOWNESS_WEIGHT * (bounded - health.slowness);
  }

  /** Health of the current incarnation; undefined if none was recorded. */
  private currentHealth({id, incarnation}: WorkerState): Health | undefined {
    const health = this.workers.get(id);
    return health?.incarnation === incarnation ? health : undefined;
  }

  private healthOf({worker, incarnation}: RunningAttempt): Health {
    const known = this.workers.get(worker);
    if (known?.incarnation === incarnation) return known;
    if (known?.isEjected) this.ejected -= 1;
    const health: Health = {
      incarnation,
      score: 0,
      slowness: 1,
      isEjected: false,
      probeAt: 0,
      probeDelayMs: FIRST_PROBE_MS,
      probe: undefined,
    };
    // Re-inserted, so that the incarnation recorded first is pruned first.
    this.workers.delete(worker);
    this.workers.set(worker, health);
    return health;
  }

  private classFailures(className: string): ClassFailures {
    let failures = this.classes.get(className);
    if (!failures) {
      failures = new ClassFailures();
      this.classes.set(className, failures);
    }
    return failures;
  }

  /** Bounds the memory used for workers that have left. */
  private prune(fleetSize: number): void {
    if (this.workers.size <= 2 * fleetSize + PRUNE_ALLOWANCE) return;
    const [oldest] = this.workers.entries();
    if (!oldest) return;
    if (oldest[1].isEjected) this.ejected -= 1;
    this.workers.delete(oldest[0]);
  }
}

/** Whether the outcome of the attempt indicates the health of its worker. */
function countsForHealth(
  attempt: RunningAttempt,
  {kind}: AttemptOutcome,
): boolean {
  switch (kind) {
    case 'stopped':
      return false;
    case 'never_started':
      // An attempt that was not sent was withdrawn by the dispatcher.
      return attempt.phase === 'sent';
    default:
      return true;
  }
}
