import type {LogTiming} from '../core/config/log/log_timing.js';

/**
 * Timing of the configuration log, shorter than the default: nothing is
 * dispatched without a leader, and callers wait for well under a second.
 */
export const LOG_TIMING: LogTiming = {
  HEARTBEAT_MS: 100,
  ELECTION_TIMEOUT_MS: 400,
  FIRST_ELECTION_MS: 150,
  CATCH_UP_MS: 150,
  TRANSFER_TIMEOUT_MS: 1_000,
};
