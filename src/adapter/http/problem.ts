import type {RunOutcome} from '../../core/job/run_outcome.js';

/** Reason why a request failed, sent as a problem document of RFC 9457. */
export interface Problem {
  readonly status: number;
  readonly code: string;
  readonly detail: string;
  /** Whether the request had any effect, as far as it is known. */
  readonly outcome: RunOutcome;
  /** Time to wait before a retry, in ms. */
  readonly retryAfterMs?: number;
  /** Additional members of the document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}
