import * as v from 'valibot';
import {TaskSpec} from './task_spec.js';

const MAX_NAME_LENGTH = 128;
const MAX_TASKS = 840;

const text = v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH));
const timeMs = v.pipe(v.number(), v.minValue(0));

/** Validator of a job as one daemon sends it to another. */
export const JobSpec = v.strictObject({
  key: text,
  /** Creation time of the key, in epoch milliseconds. */
  keyTimeMs: timeMs,
  className: text,
  tenant: text,
  /** False if the request forbids a second attempt of any of its tasks. */
  repeatable: v.boolean(),
  tasks: v.pipe(v.array(TaskSpec), v.minLength(1), v.maxLength(MAX_TASKS)),
  /** Digest of the body; detects a key that is reused with another body. */
  fingerprint: v.pipe(text, v.minLength(1)),
  /** Epoch milliseconds at which the first daemon received the job. */
  submittedAt: timeMs,
  /** Borrowing zone, if the job runs one of its tasks on a lent slot. */
  lentTo: v.optional(text),
});

/** A job as submitted by its caller. */
export interface JobSpec extends Readonly<
  Omit<v.InferOutput<typeof JobSpec>, 'tasks'>
> {
  readonly tasks: readonly TaskSpec[];
}
