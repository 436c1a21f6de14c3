/** Tokens of one term: that of its lead, and those of fallbacks and after. */
const TOKENS_PER_TERM = 1_000;
/** Run numbers of one token. */
const RUNS_PER_TOKEN = 100;

/**
 * Fencing tokens and run numbers. Both rise with the term of the log, and
 * within a term with each fallback that serves a zone and each return of the
 * lead to that zone's workers.
 */
export const LeadToken = {
  /** Token with which the lead of a term begins. */
  ofTerm: (term: number): number => term * TOKENS_PER_TERM,

  /** Number of the first run of a task under a token. */
  firstRun: (token: number): number => token * RUNS_PER_TOKEN + 1,
};
