import {mkdtempSync, rmSync, utimesSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {createConsola} from 'consola';
import {FakeClock} from '../../test-support/fakes/fake_clock.js';
import type {PlatformSettings} from './platform_settings.js';
import {SettingsWatcher} from './settings_watcher.js';

const settingsWith = (seeds: string) =>
  `node_name=n\nip=10.0.0.1\nzone=z\ninternal_port_range=1,2\nseeds=${seeds}\n`;

function withWatch(
  run: (bench: {
    readonly write: (text: string, at: number) => void;
    readonly changes: PlatformSettings[];
    readonly watch: SettingsWatcher;
    readonly clock: FakeClock;
  }) => void,
): void {
  const dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  try {
    const path = join(dir, 'settings.conf');
    const write = (text: string, at: number) => {
      writeFileSync(path, text);
      utimesSync(path, at, at);
    };
    write(settingsWith('10.0.0.2:1'), 1);
    const clock = new FakeClock();
    const changes: PlatformSettings[] = [];
    const log = createConsola({reporters: []});
    const onChange = (settings: PlatformSettings) => changes.push(settings);
    const watch = new SettingsWatcher({path, clock, log, onChange});
    watch.start();
    run({write, changes, watch, clock});
  } finally {
    rmSync(dir, {recursive: true});
  }
}

test('a changed file is read without a signal', () =>
  withWatch(({write, changes, clock}) => {
    clock.advance(20_000);
    assert.isEmpty(changes);
    write(settingsWith('10.0.0.3:1'), 2);
    clock.advance(6_000);
    assert.deepEqual(
      changes.map(c => c.seeds),
      [['10.0.0.3']],
    );
    clock.advance(20_000);
    assert.lengthOf(changes, 1);
  }));

test('a signal makes the settings take effect at once', () =>
  withWatch(({write, changes, watch}) => {
    write(settingsWith('10.0.0.4:1,10.0.0.5:1'), 3);
    watch.reload('signal');
    assert.deepEqual(changes[0]?.seeds, ['10.0.0.4', '10.0.0.5']);
  }));

test('an invalid file is ignored', () =>
  withWatch(({write, changes, clock}) => {
    write('node_name=n\n', 2);
    clock.advance(6_000);
    assert.isEmpty(changes);
  }));
