import * as v from 'valibot';
import {JobSpec} from './job_spec.js';

const MAX_KEY_LENGTH = 128;
/** Above the longest wait of a caller, so that daemons may later raise that. */
const MAX_WAIT_MS = 600_000;

const key = v.pipe(v.string(), v.maxLength(MAX_KEY_LENGTH));
const waitMs = v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_WAIT_MS));

/** Validator of a request about one job, forwarded by another daemon. */
export const JobRequest = v.variant('kind', [
  v.object({kind: v.literal('submit'), key, spec: JobSpec, waitMs}),
  v.object({kind: v.literal('fetch'), key, waitMs}),
  v.object({kind: v.literal('cancel'), key}),
  v.object({kind: v.literal('settle'), key}),
  v.object({kind: v.literal('acknowledge'), key}),
]);

/** Request about one job, as sent to the dispatcher of its home zone. */
export type JobRequest =
  | {
      readonly kind: 'submit';
      readonly key: string;
      readonly spec: JobSpec;
      readonly waitMs: number;
    }
  | {readonly kind: 'fetch'; readonly key: string; readonly waitMs: number}
  | {readonly kind: 'cancel'; readonly key: string}
  /**
   * Queries a task that was sent to a lent slot. A task that the lending zone
   * does not know can no longer start there.
   */
  | {readonly kind: 'settle'; readonly key: string}
  | {readonly kind: 'acknowledge'; readonly key: string};
