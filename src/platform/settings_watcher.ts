import {statSync} from 'node:fs';
import type {ConsolaInstance} from 'consola';
import type {Clock} from '../core/clock/clock.js';
import type {PlatformSettings} from './platform_settings.js';
import {readPlatformSettings} from './read_platform_settings.js';

/** The file may change without a signal. */
const CHECK_MS = 5_000;

interface SettingsWatchOptions {
  readonly path: string;
  readonly clock: Clock;
  readonly log: ConsolaInstance;
  /** Called with settings that can be read; others change nothing. */
  readonly onChange: (settings: PlatformSettings) => void;
}

/** Reads the settings file again, on a signal or when it has changed. */
export class SettingsWatcher {
  private modifiedAt: number | undefined;

  constructor(private readonly opts: SettingsWatchOptions) {
    this.modifiedAt = this.modificationTime();
  }

  start(): void {
    this.opts.clock.schedule(CHECK_MS, () => {
      const modifiedAt = this.modificationTime();
      if (modifiedAt !== this.modifiedAt) this.reload('file');
      this.start();
    });
  }

  reload(cause: 'signal' | 'file'): void {
    const {path, log, onChange} = this.opts;
    this.modifiedAt = this.modificationTime();
    const fresh = readPlatformSettings(path);
    if (fresh.isErr) {
      log.error('settings_unreadable', {cause, detail: fresh.error});
      return;
    }
    log.info('settings_changed', {cause, seeds: fresh.value.seeds});
    onChange(fresh.value);
  }

  /** Undefined if there is no file; the next reading says why. */
  private modificationTime(): number | undefined {
    return statSync(this.opts.path, {throwIfNoEntry: false})?.mtimeMs;
  }
}
