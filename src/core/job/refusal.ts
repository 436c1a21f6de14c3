import type {RunOutcome} from './run_outcome.js';

/** Why a request was not served, with what is known about its work. */
export interface Refusal {
  readonly code:
    | 'invalid'
    | 'conflict'
    | 'overloaded'
    | 'unplaceable'
    | 'unknown_class'
    | 'not_found'
    | 'expired'
    | 'unreachable'
    | 'draining'
    | 'not_leader';
  readonly outcome: RunOutcome;
  readonly detail: string;
  /** Earliest sensible time of a new try, in milliseconds from now. */
  readonly retryAfterMs?: number;
}
