import * as v from 'valibot';
import {Resources} from '../registry/resources.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of one step of a job. */
const Step = v.object({
  /** Number of identical tasks. */
  count: v.pipe(count, v.minValue(1)),
  demand: Resources.schema,
  /** Caller's estimate of the run time of one task. */
  estimatedMs: v.pipe(v.number(), v.minValue(0)),
  /** Indexes of earlier steps that must be complete first. */
  after: v.array(count),
  /** Label that a worker must have. */
  requiredLabel: v.optional(v.string()),
  /** Rack that holds the data; tasks run slower elsewhere. */
  dataRack: v.optional(v.string()),
  /** Maximum number of tasks of the step on one worker. */
  maxPerWorker: v.optional(count),
});

/** Validator of a job whose tasks run on leased workers. */
export const PoolJob = v.object({
  id: v.string(),
  /** Passed to the workers unchanged. */
  payload: v.string(),
  steps: v.pipe(v.array(Step), v.minLength(1)),
});

/** A job whose tasks run on leased workers. */
export type PoolJob = Readonly<v.InferOutput<typeof PoolJob>>;
