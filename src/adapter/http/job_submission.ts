import * as v from 'valibot';
import {TaskSpec} from '../../core/job/task_spec.js';

/** Size of the largest job for which the system is designed. */
const MAX_TASKS = 840;
const MAX_WAIT_MS = 60_000;
const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;

const name = v.pipe(v.string(), v.regex(NAME_PATTERN));

/** Schema of the body of a submission. */
export const JobSubmission = v.strictObject({
  class: name,
  tenant: v.optional(name, 'default'),
  tasks: v.pipe(v.array(TaskSpec), v.minLength(1), v.maxLength(MAX_TASKS)),
  /** If false, no task of this job is attempted twice. */
  repeatable: v.optional(v.boolean(), true),
  wait_ms: v.optional(
    v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_WAIT_MS)),
    MAX_WAIT_MS,
  ),
  cancel_on_disconnect: v.optional(v.boolean(), false),
});

/** The body of a submission. */
export type JobSubmission = v.InferOutput<typeof JobSubmission>;
