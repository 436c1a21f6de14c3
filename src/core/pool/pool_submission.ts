import * as v from 'valibot';
import {PoolJob} from './pool_job.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const ms = v.pipe(v.number(), v.finite(), v.minValue(0));

/** Validator of a job on its way from an entry node to the lead. */
export const PoolSubmission = v.object({
  host: v.string(),
  path: v.string(),
  job: PoolJob,
  /** How long the job has waited at the entry node. */
  waitedMs: ms,
  /** How much longer its caller waits. */
  patienceMs: ms,
  /**
   * For how long another dispatcher may still run parts of it; its runs are
   * adopted, and nothing of it starts before.
   */
  settleMs: v.optional(ms, 0),
  /** Lowest revision of the queues that it may be matched with. */
  revision: v.optional(count, 0),
});

/** A job on its way from an entry node to the lead. */
export type PoolSubmission = Readonly<v.InferInput<typeof PoolSubmission>>;
