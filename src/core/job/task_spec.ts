import * as v from 'valibot';

/** Largest memory requirement of a task, in MB: 16 TB. */
const MAX_MEMORY_MB = 16 * 1024 * 1024;
const MAX_ACCELERATORS = 64;

const amount = (max: number) =>
  v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(max));

/** Validator of one task of a submission. */
export const TaskSpec = v.strictObject({
  payload: v.unknown(),
  memory_mb: v.optional(amount(MAX_MEMORY_MB)),
  accelerators: v.optional(amount(MAX_ACCELERATORS)),
});

/** One task as submitted by its caller. */
export type TaskSpec = Readonly<v.InferOutput<typeof TaskSpec>>;
