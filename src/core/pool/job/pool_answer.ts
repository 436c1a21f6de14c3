import * as v from 'valibot';

/** Validator of the answer to a job. */
export const PoolAnswer = v.variant('kind', [
  v.object({kind: v.literal('completed')}),
  /** A task has used up the attempts that its queue allows. */
  v.object({kind: v.literal('failed')}),
  /** No task of the job has run or will run. */
  v.object({
    kind: v.literal('refused'),
    reason: v.string(),
    retryAfterMs: v.number(),
    /** Whether no earlier dispatcher can have started it; see StartProof. */
    isProved: v.optional(v.boolean()),
  }),
  /** Tasks of the job may have run; the job is not continued. */
  v.object({kind: v.literal('given_up'), reason: v.string()}),
  v.object({kind: v.literal('no_queue')}),
  v.object({kind: v.literal('cancelled')}),
]);

/** The answer to a job. */
export type PoolAnswer = Readonly<v.InferOutput<typeof PoolAnswer>>;
