import type {PoolJob} from './pool_job.js';

/** Run time of a job with unlimited room, by its caller's estimates. */
export function longestChainMs(steps: PoolJob['steps']): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map(at => ends[at] ?? 0));
    ends.push(begin + step.estimatedMs);
  }
  return Math.max(...ends);
}
