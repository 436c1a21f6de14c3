import type {Config} from './config.js';
import type {ConfigOrigin} from './config_origin.js';

/** Provides the configuration in force to the rest of the process. */
export abstract class ConfigSource {
  /** Newest configuration on this node; its version never decreases. */
  abstract current(): Config;

  /** Calls `listener` after each change, with its origin if that is known. */
  abstract onChange(
    listener: (config: Config, origin?: ConfigOrigin) => void,
  ): void;
}
