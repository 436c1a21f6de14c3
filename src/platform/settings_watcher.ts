import {statSync} from 'node:fs';
import type {ConsolaInstance} from 'consola';
import type {Clock} from '../core/clock/clock.js';
import type {PlatformSettings} from './platform_settings.js';
import {readPlatformSettings} from './read_platform_settings.js';

/** Interval of checks for a changed file, which may come without a signal. */
const CHECK_MS = 5_000;

interface SettingsWatcherOptions {
  readonly path: string;
  readonly clock: Clock;
  readonly log: ConsolaInstance;
  /** Called with the new settings; not called if the file is invalid. */
  readonly onChange: (settings: PlatformSettings) => void;
}

/** Reloads the settings file when it has changed or on a signal. */
export class SettingsWatcher {
  private modifiedAt: number | undefined;

  constructor(private readonly opts: SettingsWatcherOptions) {
    this.modifiedAt = this.readModificationTime();
  }

  start(): void {
    this.opts.clock.schedule(CHECK_MS, () => {
      const modifiedAt = this.readModificationTime();
      if (modifiedAt !== this.modifiedAt) this.reload('file');
      this.start();
    });
  }

  reload(cause: 'signal' | 'file'): void {
    const {path, log, onChange} = this.opts;
    this.modifiedAt = this.readModificationTime();
    const reloaded = readPlatformSettings(path);
    if (reloaded.isErr) {
      log.error('settings_unreadable', {cause, detail: reloaded.error});
      return;
    }
    log.info('settings_changed', {cause, seeds: reloaded.value.seeds});
    onChange(reloaded.value);
  }

  /** Undefined if there is no file; the next reload then reports the error. */
  private readModificationTime(): number | undefined {
    return statSync(this.opts.path, {throwIfNoEntry: false})?.mtimeMs;
  }
}
