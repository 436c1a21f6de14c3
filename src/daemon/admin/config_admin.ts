import type {Result} from 'true-myth';
import type {Config} from '../../core/config/config.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigOutcome} from './config_outcome.js';
import type {ConfigRefusal} from './config_refusal.js';
import type {ConfigStatus} from './config_status.js';
import type {VoterChange} from './voter_change.js';

/** What the admin API needs of the configuration. */
export abstract class ConfigAdmin {
  /** The configuration in force at this daemon. */
  abstract read(): Config;

  /** Leader of the configuration log as far as this daemon knows. */
  abstract get leader(): string | undefined;

  /** State of the log and of every daemon that its leader hears of. */
  abstract status(): Promise<ConfigStatus>;

  /** Settles when the change is in force or surely is not, or on a time-out. */
  abstract change(
    change: ConfigChange,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>>;

  abstract changeVoters(
    change: VoterChange,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>>;
}
