import type {RunWorkload} from '../lease/run_workload.js';

/** Reference for tasks without an estimate; most tasks take 50 ms to 1 s. */
const UNESTIMATED_MS = 100;

/**
 * Time of which the run times of a workload are taken as multiples: the run time
 * at normal speed by the estimate, or a fixed one if there is no estimate.
 */
export function referenceMs({
  estimatedMs,
  distanceFactor,
}: RunWorkload): number {
  const taskMs = estimatedMs > 0 ? Math.max(1, estimatedMs) : UNESTIMATED_MS;
  return taskMs * distanceFactor;
}
