import * as v from 'valibot';

/** Validator of what a member must never forget. */
export const PersistentState = v.object({
  /** Id of the log that this folder belongs to; absent before it joined. */
  log: v.optional(v.string()),
  term: v.number(),
  /** Storage id that got this member's vote in `term`. */
  vote: v.optional(v.string()),
});

/** Promises of a member, synced before any answer that relies on them. */
export type PersistentState = Readonly<v.InferOutput<typeof PersistentState>>;
