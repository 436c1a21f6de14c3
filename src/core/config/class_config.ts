import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;
const MIN_TARGET_MS = 1;
/** Ten minutes: the retention of answers bounds what a target can mean. */
const MAX_TARGET_MS = 600_000;

/** Validator of a class of work as an operator sets it. */
export const ClassConfig = v.strictObject({
  name: v.pipe(v.string(), v.regex(NAME_PATTERN)),
  /** Response time within which `percentile` of the jobs must be answered. */
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
   * Whether a task may be started again after an attempt that ran. Off by
   * default, so that only an operator's choice allows a second start.
   */
  repeatable: v.optional(v.boolean(), false),
  memory_mb: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
  accelerators: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
});

/** A class of work with its response target. */
export type ClassConfig = Readonly<v.InferOutput<typeof ClassConfig>>;
