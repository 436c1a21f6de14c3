import type {RunOutcome} from './run_outcome.js';

/** Reason why a request was refused, and whether any of its work ran. */
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
  /** Delay after which the caller should retry, in ms. */
  readonly retryAfterMs?: number;
}
