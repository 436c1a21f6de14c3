import type {ActiveJob} from './active_job.js';

/** Slots lent to other zones, by zone; each lent job has one task. */
export function countLentSlots(
  jobs: Iterable<ActiveJob>,
): ReadonlyMap<string, number> {
  const lent = new Map<string, number>();
  for (const {spec} of jobs) {
    if (spec.lentTo === undefined) continue;
    lent.set(spec.lentTo, (lent.get(spec.lentTo) ?? 0) + 1);
  }
  return lent;
}
