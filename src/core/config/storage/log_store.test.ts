import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';
import {FrameFile} from './frame_file.js';

const {changeOf} = ConfigBench;

function segmentOf(bench: ConfigBench, id: string): string {
  const names = bench.disks.get(id)!.list().unwrapOr([]);
  return names.find(name => /^log-\d+$/.test(name))!;
}

test('all changes survive a restart after several compactions', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  for (let n = 1; n <= 700; n += 1) {
    bench.change(leader, changeOf(`k${n}`, n, `c${n % 40}`, n));
  }
  const before = bench.ids.map(id => bench.version(id));
  for (const id of bench.ids) bench.crash(id);
  for (const id of bench.ids) bench.start(id);
  // The stored version is in force immediately, before a leader is elected.
  for (const [at, id] of bench.ids.entries()) {
    assert.isAtLeast(bench.version(id), before[at]!);
  }
  bench.waitForLeader();
  bench.waitUntil('all changes', () =>
    bench.ids.every(id => bench.version(id) === 701),
  );
  const again = bench.change('v1', changeOf('k700', 700, 'c20', 700));
  assert.deepEqual(again, {kind: 'accepted', version: 701});
});

test('a torn write at the end of the segment is discarded', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.change('v1', changeOf('k1', 1, 'a'));
  bench.clock.advance(1_000);
  bench.kill('v1');
  const torn = Buffer.from('70796b31000001', 'hex');
  bench.disks
    .get('v1')!
    .corrupt(segmentOf(bench, 'v1'), bytes => Buffer.concat([bytes, torn]));
  assert.isTrue(bench.start('v1').isOk);
  bench.waitForLeader();
  assert.equal(bench.version('v1'), 2);
});

// Dropping the records after the damage would lose acknowledged entries.
test('corruption before valid records fails with the byte offset', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.change('v1', changeOf('k1', 1, 'a'));
  bench.change('v1', changeOf('k2', 2, 'b'));
  bench.clock.advance(1_000);
  bench.kill('v1');
  const file = segmentOf(bench, 'v1');
  bench.disks.get('v1')!.corrupt(file, bytes => {
    bytes[Math.floor(bytes.length / 2)]! ^= 1;
    return bytes;
  });
  const started = bench.start('v1');
  assert.isTrue(started.isErr);
  if (started.isErr) assert.match(started.error, /corrupt data at byte \d+/);
});

test('an unknown file format fails with found and supported format', () => {
  const bench = new ConfigBench({voters: 1, followers: 0});
  bench.startAll();
  bench.clock.advance(1_000);
  bench.kill('v1');
  const file = segmentOf(bench, 'v1');
  const header = FrameFile.frame({format: 9, kind: 'log', storage: 's'});
  bench.disks.get('v1')!.corrupt(file, () => Buffer.from(header));
  const started = bench.start('v1');
  assert.isTrue(started.isErr);
  if (started.isErr) assert.match(started.error, /format 9 .* reads format 1/);
});

test('a node with a full disk stops voting but receives new versions', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.disks.get(leader)!.isFull = true;
  bench.change('f1', changeOf('k1', 1, 'a'));
  assert.equal(bench.node(leader).logMember!.role, 'failed');
  bench.waitUntil('the new version', () => bench.version(leader) === 2);
  bench.disks.get(leader)!.isFull = false;
  bench.waitUntil(
    'the return',
    () => bench.node(leader).logMember!.role !== 'failed',
  );
  bench.waitUntil('the catch-up', () => {
    const {logMember} = bench.node(leader);
    return (
      logMember!.commitIndex ===
      bench.node(bench.waitForLeader()).logMember!.commitIndex
    );
  });
});

// After a failed sync the kernel reports the error once and drops the dirty
// pages, so a second sync succeeds although the data is not on the disk.
test('data of a failed sync counts only after it is written again', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(1_000);
  const failing = bench.voters.find(id => id !== leader)!;
  const third = bench.voters.find(id => id !== leader && id !== failing)!;
  bench.crash(third);
  bench.disks.get(failing)!.failingSyncs = 1;
  const pending = bench.submit(leader, {
    kind: 'change',
    change: changeOf('k1', 1, 'a'),
  });
  bench.clock.advance(1_200);
  assert.isUndefined(pending.answer);
  assert.equal(bench.node(failing).logMember!.role, 'failed');
  // The process restarts and reads the entry from the page cache.
  bench.kill(failing);
  bench.start(failing);
  bench.waitUntil('the response', () => pending.answer !== undefined);
  assert.propertyVal(pending.answer, 'kind', 'accepted');
  // Both VMs crash at once; the change must be on both disks.
  bench.crash(leader);
  bench.crash(failing);
  bench.start(failing);
  bench.start(third);
  bench.waitForLeader();
  bench.waitUntil('the change', () => bench.version(third) === 2);
});
