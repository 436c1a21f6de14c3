import type {Config} from './config.js';

/** Provides the configuration in force to the rest of the process. */
export abstract class ConfigSource {
  /** Newest configuration on this node; its version never decreases. */
  abstract current(): Config;

  /** Calls `listener` after each change. */
  abstract onChange(listener: (config: Config) => void): void;
}
