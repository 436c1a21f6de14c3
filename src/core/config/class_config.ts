import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;
const MIN_TARGET_MS = 1;
/**
 * Ten minutes; longer targets make no sense, as results are not kept longer.
 */
const MAX_TARGET_MS = 600_000;

/** Validator of `ClassConfig`. */
export const ClassConfig = v.strictObject({
  name: v.pipe(v.string(), v.regex(NAME_PATTERN)),
  /** Target response time of `percentile` percent of the jobs, in ms. */
  target_ms: v.pipe(
    v.number(),
    v.minValue(MIN_TARGET_MS),
    v.maxValue(MAX_TARGET_MS),
  ),
  percentile: v.optional(
    v.pipe(v.number(), v.minValue(50), v.maxValue(99.99)),
    99,
  ),
  /**
   * Whether a task may be retried after an attempt that may have run. Off by
   * default, so that tasks run twice only if an operator allows it.
   */
  repeatable: v.optional(v.boolean(), false),
  memory_mb: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
  accelerators: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
});

/** A job class and its response time target. */
export type ClassConfig = Readonly<v.InferOutput<typeof ClassConfig>>;
