import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {ClassFailures} from './class_failures.js';
import type {RunningAttempt} from './running_attempt.js';
import type {WorkerState} from './worker_state.js';

/** Failures beyond successes, weighed, at which a worker is ejected. */
const EJECTION_THRESHOLD = 3;
/** Most evidence kept, so that a recovered worker returns soon. */
const MAX_FAILURE_SCORE = 6;
/** Time from an ejection to the first probe; it doubles with each failure. */
const FIRST_PROBE_MS = 10_000;
const MAX_PROBE_MS = 300_000;
/** A task that may not run twice is risked this many times later. */
const NON_REPEATABLE_PROBE_FACTOR = 3;
/** Most workers ejected at once, as a share of the fleet. */
const MAX_EJECTED_SHARE = 0.2;
const SLOWNESS_WEIGHT = 0.05;
/** Bounds the effect of one long task on the learned speed. */
const MAX_SLOWNESS_SAMPLE = 4;
/** Run times vary by class and task, so that smaller factors mean little. */
const MIN_SLOWNESS = 1.5;
const MIN_PRUNE = 64;

interface Health {
  readonly incarnation: string;
  failureScore: number;
  /** Run time in proportion to the class's mean; 1 is usual. */
  slowness: number;
  isEjected: boolean;
  /** Epoch milliseconds of the next probe of an ejected worker. */
  probeAt: number;
  probeDelayMs: number;
  /** Attempt that probes the worker. */
  probe: string | undefined;
}

/**
 * Learns which workers fail or are slow. A worker that fails everything
 * answers fast and looks idle, so failures count, not load: it is ejected and
 * probed now and then with one task. Failures of a class that fails on other
 * workers as well are no evidence against a worker.
 */
export class WorkerHealth {
  private readonly workers = new Map<string, Health>();
  private readonly classes = new Map<string, ClassFailures>();
  private ejected = 0;

  /** Workers ejected now. */
  get ejectedCount(): number {
    return this.ejected;
  }

  isEjected(worker: WorkerState): boolean {
    return this.currentHealth(worker)?.isEjected === true;
  }

  /** Factor on run times that the worker is expected to have; at least 1. */
  slownessOf(worker: WorkerState): number {
    const slowness = this.currentHealth(worker)?.slowness ?? 1;
    return slowness < MIN_SLOWNESS ? 1 : slowness;
  }

  /** Slots to use: a slow worker gets a smaller share. */
  slotLimit(worker: WorkerState): number {
    const {slots} = worker.announcement;
    return Math.max(1, Math.floor(slots / this.slownessOf(worker)));
  }

  /** Whether a task may probe the ejected worker now. */
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
   * Notes the end of an attempt; `expectedMs` is the class's mean run time and
   * `fleetSize` the number of live workers.
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
    if (isSuccess)
      this.updateSlowness(health, (now - attempt.since) / expectedMs);
    if (isProbe) {
      this.probed(health, isSuccess, now);
    } else if (isSuccess) {
      health.failureScore = Math.max(0, health.failureScore - 1);
    } else {
      const weight = 1 - failures.shareOfOthers(attempt.worker);
      health.failureScore = Math.min(
        MAX_FAILURE_SCORE,
        health.failureScore + weight,
      );
      if (health.failureScore >= EJECTION_THRESHOLD)
        this.eject(health, fleetSize, now);
    }
    this.prune(fleetSize);
  }

  reset(): void {
    this.workers.clear();
    this.classes.clear();
    this.ejected = 0;
  }

  private probed(health: Health, isSuccess: boolean, now: number): void {
    if (!health.isEjected) return;
    if (isSuccess) {
      health.isEjected = false;
      // One more failure ejects it again.
      health.failureScore = EJECTION_THRESHOLD - 1;
      this.ejected -= 1;
      return;
    }
    health.probeDelayMs = Math.min(MAX_PROBE_MS, 2 * health.probeDelayMs);
    health.probeAt = now + health.probeDelayMs;
  }

  private eject(health: Health, fleetSize: number, now: number): void {
    if (health.isEjected) return;
    const most = Math.max(fleetSize > 2 ? 1 : 0, MAX_EJECTED_SHARE * fleetSize);
    if (this.ejected + 1 > most) return;
    health.isEjected = true;
    health.probe = undefined;
    health.probeAt = now + health.probeDelayMs;
    this.ejected += 1;
  }

  private updateSlowness(health: Health, ratio: number): void {
    const bounded = Math.min(MAX_SLOWNESS_SAMPLE, ratio);
    health.slowness += SLOWNESS_WEIGHT * (bounded - health.slowness);
  }

  /** Nothing is known of a worker that restarted. */
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
      failureScore: 0,
      slowness: 1,
      isEjected: false,
      probeAt: 0,
      probeDelayMs: FIRST_PROBE_MS,
      probe: undefined,
    };
    // Re-inserted, so that the least recently joined worker is pruned first.
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

  /** Bounds the memory for workers that went away. */
  private prune(fleetSize: number): void {
    if (this.workers.size <= 2 * fleetSize + MIN_PRUNE) return;
    const [oldest] = this.workers.entries();
    if (!oldest) return;
    if (oldest[1].isEjected) this.ejected -= 1;
    this.workers.delete(oldest[0]);
  }
}

/** Whether the end of the attempt says something about its worker. */
function countsForHealth(
  attempt: RunningAttempt,
  {kind}: AttemptOutcome,
): boolean {
  switch (kind) {
    case 'stopped':
      return false;
    case 'never_started':
      // An attempt that was not sent was called off by the dispatcher.
      return attempt.phase === 'sent';
    default:
      return true;
  }
}
