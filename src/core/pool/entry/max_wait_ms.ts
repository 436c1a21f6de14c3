import {criticalPathMs} from '../job/critical_path_ms.js';
import type {PoolJob} from '../job/pool_job.js';

/** A start after this share of the critical path is too late for the caller. */
const WAIT_SHARE = 0.9;
const EXTRA_WAIT_MS = 100;
/** Upper bound; a takeover takes less time. */
const MAX_WAIT_MS = 1_200;

/** How long a job waits at its entry node while no dispatcher is known, in ms. */
export function maxWaitMs({steps}: PoolJob): number {
  const waitMs = EXTRA_WAIT_MS + WAIT_SHARE * criticalPathMs(steps);
  return Math.min(MAX_WAIT_MS, waitMs);
}
