import type {Config} from './config.js';

/** Gives the rest of the daemon the configuration in force. */
export abstract class ConfigSource {
  /** The newest configuration known here; its version never decreases. */
  abstract current(): Config;

  /** Calls `listener` after each change. */
  abstract onChange(listener: (config: Config) => void): void;
}
