import type {ActiveJob} from './active_job.js';

/** Tasks that run for other zones, by zone; a lent job has one task. */
export function countLent(
  jobs: Iterable<ActiveJob>,
): ReadonlyMap<string, number> {
  const lent = new Map<string, number>();
  for (const {spec} of jobs) {
    if (spec.lentTo === undefined) continue;
    lent.set(spec.lentTo, (lent.get(spec.lentTo) ?? 0) + 1);
  }
  return lent;
}
