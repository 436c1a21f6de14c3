import {assert} from 'chai';
import {ConfigOrigin} from '../config_origin.js';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {FakeDisk} from '../../../../test-support/fakes/fake_disk.js';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';
import type {Config} from '../config.js';
import {AppliedConfigFile} from './applied_config_file.js';
import {ReplicatedConfigSource} from './replicated_config_source.js';

function configOf(version: number): Config {
  return {version, classes: {}, tenants: {}};
}

// Written to the file, the older version would be in force after a restart.
test('an older version is ignored while a newer one is being written', () => {
  const clock = new FakeClock();
  const disk = new FakeDisk(clock, new SeededRandom(1));
  const source = new ReplicatedConfigSource(new AppliedConfigFile(disk));
  source.applyIfNewer('log', configOf(5), ConfigOrigin.log);
  source.applyIfNewer('log', configOf(4), ConfigOrigin.log);
  clock.advance(1_000);
  assert.equal(source.current().version, 5);
  disk.crash();
  disk.restart();
  const restarted = new ReplicatedConfigSource(new AppliedConfigFile(disk));
  assert.isTrue(restarted.load().isOk);
  assert.equal(restarted.current().version, 5);
});

// Otherwise a restart could return to an older version.
test('a version comes into force only after it is stored', () => {
  const clock = new FakeClock();
  const disk = new FakeDisk(clock, new SeededRandom(1));
  const source = new ReplicatedConfigSource(new AppliedConfigFile(disk));
  source.applyIfNewer('log', configOf(1), ConfigOrigin.log);
  assert.equal(source.current().version, 0);
  clock.advance(1_000);
  assert.equal(source.current().version, 1);
});

test('versions of another log are ignored', () => {
  const source = new ReplicatedConfigSource();
  source.applyIfNewer('log', configOf(1), ConfigOrigin.log);
  source.applyIfNewer('other', configOf(2), ConfigOrigin.log);
  assert.equal(source.current().version, 1);
});
