import type {JobKey} from '../../src/core/job/job_key.js';
import type {JobSpec} from '../../src/core/job/job_spec.js';

/** Creates a job of class `default` whose tasks run for the given times. */
export function jobSpecOf(
  key: JobKey,
  taskMs: readonly number[],
  submittedAt: number,
  overrides: Partial<JobSpec> = {},
): JobSpec {
  return {
    key: key.text,
    keyTimeMs: key.timeMs,
    className: 'default',
    tenant: 'default',
    repeatable: true,
    tasks: taskMs.map((ms, value) => ({payload: {ms, value}})),
    fingerprint: taskMs.join(),
    submittedAt,
    ...overrides,
  };
}
