import type {ConfigDiff} from './config_diff.js';

/** Why a change of the configuration or of the voters was not accepted. */
export interface ChangeRefusal {
  /**
   * `invalid`: the change itself is wrong. `conflict`: another change was made
   * since the expected version. `key_reused`: the key belongs to another
   * change. `unavailable`: no leader with a majority answered in time (503).
   */
  readonly code: 'invalid' | 'conflict' | 'key_reused' | 'unavailable';
  /** `not_made` is definite; resending with the same key settles the other. */
  readonly outcome: 'not_made' | 'outcome_unknown';
  readonly detail: string;
  /** Version in force when the change lost, with `conflict`. */
  readonly version?: number;
  /** What changed since the expected version, with `conflict`. */
  readonly diff?: ConfigDiff;
  readonly retryAfterMs?: number;
}
