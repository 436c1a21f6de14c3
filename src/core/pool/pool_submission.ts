import * as v from 'valibot';
import {PoolJob} from './pool_job.js';

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
});

/** A job on its way from an entry node to the lead. */
export type PoolSubmission = Readonly<v.InferOutput<typeof PoolSubmission>>;
