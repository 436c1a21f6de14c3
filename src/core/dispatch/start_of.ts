import type {JobSpec} from '../job/job_spec.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import type {RunningAttempt} from '../worker/running_attempt.js';

/** The start of an attempt as it goes to its worker. */
export function startOf(
  attempt: RunningAttempt,
  spec: JobSpec | undefined,
): AttemptStart {
  return {
    id: attempt.id,
    key: attempt.key,
    task: attempt.task,
    class: attempt.className,
    tenant: attempt.tenant,
    memory_mb: attempt.memoryMb,
    accelerators: attempt.accelerators,
    payload: spec?.tasks[attempt.task]?.payload,
  };
}
