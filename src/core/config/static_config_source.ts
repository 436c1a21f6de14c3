import type {Config} from './config.js';
import {ConfigSource} from './config_source.js';

/** A configuration that changes only by `set`, without a replicated log. */
export class StaticConfigSource extends ConfigSource {
  private readonly listeners: Array<(config: Config) => void> = [];

  constructor(private config: Config) {
    super();
  }

  override current(): Config {
    return this.config;
  }

  override onChange(listener: (config: Config) => void): void {
    this.listeners.push(listener);
  }

  set(config: Config): void {
    this.config = config;
    for (const listener of this.listeners) listener(config);
  }
}
