import type {Result} from 'true-myth';
import type {Config} from '../../core/config/config.js';
import type {ConfigChange} from './config_change.js';
import type {ConfigOutcome} from './config_outcome.js';
import type {ConfigRefusal} from './config_refusal.js';
import type {ConfigStatus} from './config_status.js';
import type {VoterChange} from './voter_change.js';

/** Operations of the admin API on the configuration. */
export abstract class ConfigAdmin {
  /** Returns the configuration in force at this daemon. */
  abstract read(): Config;

  /** Last known leader of the configuration log. */
  abstract get leader(): string | undefined;

  /** Returns the status of the log and of each daemon that reports to its leader. */
  abstract status(): Promise<ConfigStatus>;

  /** Resolves when the change is in force, has been refused or has timed out. */
  abstract change(
    change: ConfigChange,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>>;

  /** Zones of the deployment, and whether each is evacuated. */
  abstract zones(): ReadonlyArray<{
    readonly zone: string;
    readonly isEvacuated: boolean;
  }>;

  /**
   * Starts or ends the evacuation of a zone. `isWanted` tells whether the caller
   * still waits.
   */
  abstract evacuate(
    zone: string,
    isEvacuated: boolean,
    isWanted: () => boolean,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>>;

  abstract changeVoters(
    change: VoterChange,
  ): Promise<Result<ConfigOutcome, ConfigRefusal>>;
}
