import type {JobSpec} from '../job/job_spec.js';
import type {AttemptStart} from '../upstream/attempt_start.js';
import type {RunningAttempt} from '../worker/running_attempt.js';

/** Converts an attempt to the start message for its worker. */
export function toAttemptStart(
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
