/**
 * Tokens of one term: the first is for the leader, the others for fallbacks and
 * for the leader when it takes over from them.
 */
const TOKENS_PER_TERM = 1_000;
/** Range of run numbers per token. */
const RUNS_PER_TOKEN = 100;

/**
 * Fencing tokens and run numbers. Both increase with the term of the log and,
 * within a term, whenever a fallback starts and whenever the leader takes the
 * zone's workers back from it.
 */
export const FencingToken = {
  /** Initial token of the leader of a term. */
  ofTerm: (term: number): number => term * TOKENS_PER_TERM,

  /** Number of the first run of a task under a token. */
  firstRun: (token: number): number => token * RUNS_PER_TOKEN + 1,
};
