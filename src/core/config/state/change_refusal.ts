import type {ConfigDiff} from './config_diff.js';

/** Reason why a change of the configuration or the members was refused. */
export interface ChangeRefusal {
  /**
   * `invalid`: the change itself is wrong. `conflict`: the expected version is
   * not the current one. `key_reused`: the idempotency key belongs to another
   * change. `unavailable`: no leader with a majority responded in time, or it
   * cannot make the change at present (HTTP 503).
   */
  readonly code: 'invalid' | 'conflict' | 'key_reused' | 'unavailable';
  /**
   * `not_made` is final. After `outcome_unknown`, resend the change with the
   * same key to get its outcome.
   */
  readonly outcome: 'not_made' | 'outcome_unknown';
  readonly detail: string;
  /** Current version; only with `conflict`. */
  readonly version?: number;
  /** Differences from the expected version; only with `conflict`. */
  readonly diff?: ConfigDiff;
  readonly retryAfterMs?: number;
}
