import {ZoneFallbacks} from '../registry/zone_fallbacks.js';

/**
 * Tokens of one term: the first is for the leader, the others for fallbacks and
 * for the leader when it takes over from them.
 */
const TOKENS_PER_TERM = 1_000;
/**
 * Successive tokens are for different kinds of nodes: one for core nodes, and one
 * for each entry node of a zone that may be its fallback. Two nodes that do not
 * hear each other would otherwise choose the same token, and workers would obey
 * both.
 */
const TOKENS_PER_STEP = 1 + ZoneFallbacks.MAX;
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

  /** Lowest token of a core node above a known token. */
  nextOfCore: (known: number): number =>
    (Math.floor(known / TOKENS_PER_STEP) + 1) * TOKENS_PER_STEP,

  /**
   * Lowest token above a known one of the fallback with the given rank, from 0 to
   * `ZoneFallbacks.MAX - 1`, among those of its zone.
   */
  nextOfFallback: (known: number, rank: number): number => {
    const step = Math.floor(known / TOKENS_PER_STEP) * TOKENS_PER_STEP;
    const token = step + 1 + rank;
    return token > known ? token : token + TOKENS_PER_STEP;
  },

  /** Number of the first run of a task under a token. */
  firstRun: (token: number): number => token * RUNS_PER_TOKEN + 1,
};
