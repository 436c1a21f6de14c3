import * as v from 'valibot';

/** Validator of the answer to a job in the pool. */
export const PoolAnswer = v.variant('kind', [
  v.object({kind: v.literal('completed')}),
  /** A task has failed as often as its queue allows. */
  v.object({kind: v.literal('failed')}),
  /** Nothing of the job has run or will run. */
  v.object({
    kind: v.literal('refused'),
    reason: v.string(),
    retryAfterMs: v.number(),
  }),
  /** Part of it may have run; it is over now. */
  v.object({kind: v.literal('given_up'), reason: v.string()}),
  v.object({kind: v.literal('no_queue')}),
  v.object({kind: v.literal('cancelled')}),
]);

/** The answer to a job in the pool. */
export type PoolAnswer = Readonly<v.InferOutput<typeof PoolAnswer>>;
