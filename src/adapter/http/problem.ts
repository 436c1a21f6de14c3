import type {RunOutcome} from '../../core/job/run_outcome.js';

/** Why a request is not served, as in RFC 9457. */
export interface Problem {
  readonly status: number;
  readonly code: string;
  readonly detail: string;
  /** What is known about the work of the request. */
  readonly outcome: RunOutcome;
  /** Earliest sensible time of a new try, in milliseconds from now. */
  readonly retryAfterMs?: number;
  /** Further members of the document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}
