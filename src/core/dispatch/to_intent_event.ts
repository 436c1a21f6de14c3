import type {JobEvent} from '../job/job_event.js';
import type {RunningAttempt} from '../worker/running_attempt.js';

/** Event that must be committed before the start of the attempt is sent. */
export function toIntentEvent(attempt: RunningAttempt): JobEvent {
  const {key, task, worker, incarnation} = attempt;
  return {kind: 'intent', key, task, attempt: attempt.id, worker, incarnation};
}
