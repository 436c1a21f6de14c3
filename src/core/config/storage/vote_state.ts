import * as v from 'valibot';

/** Validator of `VoteState`. */
export const VoteState = v.object({
  /** Id of the log that the folder belongs to; absent before it joins one. */
  log: v.optional(v.string()),
  /** Current term. */
  term: v.number(),
  /** Storage id of the candidate voted for in `term`, if any. */
  vote: v.optional(v.string()),
});

/**
 * Persistent state of a member apart from its log entries (Raft's `currentTerm`
 * and `votedFor`). Synced to disk before any reply that depends on it is sent.
 */
export type VoteState = Readonly<v.InferOutput<typeof VoteState>>;
