import {Result} from 'true-myth';
import type {Config} from '../config.js';
import type {ConfigOrigin} from '../config_origin.js';
import {ConfigSource} from '../config_source.js';
import type {AppliedConfigFile} from './applied_config_file.js';

const EMPTY_CONFIG: Config = {version: 0, classes: {}, tenants: {}};

interface PendingConfig {
  readonly log: string;
  readonly config: Config;
  readonly origin: ConfigOrigin;
}

type Listener = (config: Config, origin?: ConfigOrigin) => void;

/**
 * The configuration in force on this node. Accepts only newer versions of a
 * single log. On nodes with a data folder, a version is stored on disk before
 * it comes into force.
 */
export class ReplicatedConfigSource extends ConfigSource {
  private inForce: Config = EMPTY_CONFIG;
  private logId: string | undefined;
  private pending: PendingConfig | undefined;
  private isWriting = false;
  private readonly listeners: Listener[] = [];

  constructor(private readonly file?: AppliedConfigFile) {
    super();
  }

  /** Restores the configuration that was in force before the restart. */
  load(): Result<void, string> {
    const found = this.file?.load() ?? Result.ok(undefined);
    if (found.isErr) return Result.err(found.error);
    if (found.value) {
      this.logId = found.value.log;
      this.inForce = found.value.config;
    }
    return Result.ok(undefined);
  }

  /** Id of the log that versions belong to; undefined before the first one. */
  get log(): string | undefined {
    return this.logId;
  }

  override current(): Config {
    return this.inForce;
  }

  override onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Stores a configuration and brings it into force if it is newer. */
  applyIfNewer(log: string, config: Config, origin: ConfigOrigin): void {
    if (this.logId !== undefined && this.logId !== log) return;
    const newest = this.pending?.config.version ?? this.inForce.version;
    if (config.version <= newest) return;
    this.logId = log;
    this.pending = {log, config, origin};
    this.persistPending();
  }

  private persistPending(): void {
    const {pending, file} = this;
    if (!pending || this.isWriting) return;
    if (!file) {
      this.activate(pending);
      return;
    }
    this.isWriting = true;
    file.write(pending.log, pending.config, () => {
      this.isWriting = false;
      // The new version is used even if the write failed, so that a failed disk
      // does not leave the node on an old configuration.
      this.activate(pending);
      this.persistPending();
    });
  }

  private activate(next: PendingConfig): void {
    if (this.pending === next) this.pending = undefined;
    if (next.config.version <= this.inForce.version) return;
    this.inForce = next.config;
    for (const listener of this.listeners) listener(next.config, next.origin);
  }
}
