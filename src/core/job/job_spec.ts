import * as v from 'valibot';
import {TaskSpec} from './task_spec.js';

const MAX_NAME_LENGTH = 128;
const MAX_TASKS = 840;

const text = v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH));
const timeMs = v.pipe(v.number(), v.minValue(0));

/** Validator of a job as one daemon sends it to another. */
export const JobSpec = v.strictObject({
  key: text,
  /** Epoch milliseconds at which the key was made. */
  keyTimeMs: timeMs,
  className: text,
  tenant: text,
  /** False when the request forbids a second attempt of any of its tasks. */
  repeatable: v.boolean(),
  tasks: v.pipe(v.array(TaskSpec), v.minLength(1), v.maxLength(MAX_TASKS)),
  /** Digest of the body, so that a reused key with another body is noticed. */
  fingerprint: v.pipe(text, v.minLength(1)),
  /** Epoch milliseconds of the submission at its first daemon. */
  submittedAt: timeMs,
  /** Zone whose task this is, when it runs on slots lent to that zone. */
  lentTo: v.optional(text),
});

/** A job as accepted: what the caller asked for and under which key. */
export interface JobSpec extends Readonly<
  Omit<v.InferOutput<typeof JobSpec>, 'tasks'>
> {
  readonly tasks: readonly TaskSpec[];
}
