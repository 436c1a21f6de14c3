import type {Run} from '../lease/run.js';
import {referenceMs} from './reference_ms.js';
import type {RunTimes} from './run_times.js';

/** Slowness from which a run of a worker counts as slow. */
const SLOW_RATIO = 2;
/** Newest runs of a worker, without the one in question, that are counted. */
const EVIDENCE_RUNS = 5;
/**
 * Probability that long tasks alone explain the slow runs of a worker, above
 * which it is not held for slow. A run is checked some twenty times.
 */
const MAX_DOUBT = 0.001;
/** Assumed share of long tasks while a queue has shown fewer. */
const MIN_LONG_SHARE = 0.01;
/** A new run must end within this share of the time that is left. */
const WORTH_SHARE = 0.6;
/** Time to stop a run and to start the next one. */
const MOVE_MS = 20;
/** Samples after which the quantile covers tasks that are long but do end. */
const MANY_SAMPLES = 500;
const MANY_QUANTILE = 0.998;
const FEW_SAMPLES = 30;
const FEW_QUANTILE = 0.98;
/** Limit of run times as a multiple of the quantile. */
const ENDLESS_FACTOR = 3;
/** Limit, as a multiple of the estimate, while a queue has few samples. */
const MIN_ENDLESS_RATIO = 10;
/** Factor by which the limit of a task grows with each stopped run. */
const LIMIT_GROWTH = 4;
/** Added to every limit, so that short runs are not stopped. */
const MIN_LIMIT_MS = 150;

/** Decides which runs are stopped before their end. */
export class StragglerPolicy {
  constructor(private readonly times: RunTimes) {}

  /** Whether a run has taken so much longer than any other that it hangs. */
  isEndless(run: Run, worker: string, stops: number, now: number): boolean {
    // Most runs are below every limit, and each is checked some 16 times a second.
    if (now - run.sentAt <= MIN_LIMIT_MS) return false;
    const ratios = this.times.ratiosFor(run.workload!);
    if (ratios.count < FEW_SAMPLES) return false;
    const limit =
      ratios.count < MANY_SAMPLES
        ? Math.max(
            MIN_ENDLESS_RATIO,
            ENDLESS_FACTOR * ratios.quantile(FEW_QUANTILE),
          )
        : ENDLESS_FACTOR * ratios.quantile(MANY_QUANTILE);
    const slowness = Math.max(1, this.slownessWithout(run, worker, now));
    // The task itself may be long, so each further run gets more time.
    const limitMs = referenceMs(run.workload!) * slowness * limit;
    return now - run.sentAt > MIN_LIMIT_MS + limitMs * LIMIT_GROWTH ** stops;
  }

  /** Whether other runs show beyond doubt that the worker of a run is slow. */
  isOnSlowWorker(run: Run, worker: string, now: number): boolean {
    if (this.times.slownessOf(worker, now) < SLOW_RATIO) return false;
    const speed = this.times.speedOf(worker);
    const others = speed.recent(now, EVIDENCE_RUNS, run.task);
    let doubt = 1;
    let slow = 0;
    for (const {ratio, group, isOverdue} of others) {
      if (ratio < SLOW_RATIO) continue;
      slow += 1;
      const ratios = this.times.ratiosOf(group);
      const longShare = Math.max(MIN_LONG_SHARE, ratios.shareAbove(SLOW_RATIO));
      // Of the runs in progress, more are long than of those that start.
      const bias = isOverdue ? ratios.expectedAfter(SLOW_RATIO) : 1;
      doubt *= Math.min(1, longShare * bias);
    }
    return slow > 0 && binomial(others.length, slow) * doubt < MAX_DOUBT;
  }

  /**
   * Whether a new run elsewhere, with this slowdown by speed and distance, ends
   * well before this one. The task keeps its length.
   */
  isWorthMoving(run: Run, worker: string, factor: number, now: number) {
    const workload = run.workload!;
    const hereMs =
      referenceMs(workload) * this.slownessWithout(run, worker, now);
    const done = (now - run.sentAt) / hereMs;
    const total = this.times.ratiosFor(workload).expectedAfter(done);
    const leftMs = (total - done) * hereMs;
    const taskMs = referenceMs({...workload, distanceFactor: 1});
    const newMs = total * taskMs * factor + MOVE_MS;
    return newMs < WORTH_SHARE * leftMs;
  }

  private slownessWithout(run: Run, worker: string, now: number): number {
    return this.times.speedOf(worker).slownessWithout(run.task, now);
  }
}

function binomial(n: number, k: number): number {
  let value = 1;
  for (let at = 1; at <= k; at += 1) value *= (n - k + at) / at;
  return value;
}
