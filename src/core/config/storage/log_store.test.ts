import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';
import {FrameFile} from './frame_file.js';

const {changeOf} = ConfigBench;

function segmentOf(bench: ConfigBench, id: string): string {
  const names = bench.disks.get(id)!.list().unwrapOr([]);
  return names.find(name => /^log-\d+$/.test(name))!;
}

test('a restart after hundreds of changes finds all of them', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  for (let n = 1; n <= 700; n += 1) {
    bench.change(leader, changeOf(`k${n}`, n, `c${n % 40}`, n));
  }
  const before = bench.ids.map(id => bench.version(id));
  for (const id of bench.ids) bench.crash(id);
  for (const id of bench.ids) bench.start(id);
  // What was in force is in force at once, before any leader is elected.
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

test('a torn tail is cut', () => {
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

test('corruption in the middle is refused with the place', () => {
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

test('an unknown format is refused by name', () => {
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

test('a full disk stops the vote but not the configuration', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.disks.get(leader)!.isFull = true;
  bench.change('f1', changeOf('k1', 1, 'a'));
  assert.equal(bench.node(leader).logMember!.role, 'failed');
  bench.waitUntil('the version by polling', () => bench.version(leader) === 2);
  bench.disks.get(leader)!.isFull = false;
  bench.waitUntil(
    'the return',
    () => bench.node(leader).logMember!.role !== 'failed',
  );
  bench.waitUntil('the catch-up', () => {
    const {logMember: log} = bench.node(leader);
    return (
      log!.commitIndex ===
      bench.node(bench.waitForLeader()).logMember!.commitIndex
    );
  });
});

// A kernel reports a failed sync once and drops the pages: a second sync
// succeeds, and the data is still not on the disk.
test('a failed sync is never taken as done later', () => {
  const bench = new ConfigBench({followers: 0});
  bench.startAll();
  const leader = bench.waitForLeader();
  bench.clock.advance(1_000);
  const failing = bench.voters.find(id => id !== leader)!;
  const third = bench.voters.find(id => id !== leader && id !== failing)!;
  bench.crash(third);
  bench.disks.get(failing)!.failingSyncs = 1;
  const box = bench.submit(leader, {
    kind: 'change',
    change: changeOf('k1', 1, 'a'),
  });
  bench.clock.advance(1_200);
  assert.isUndefined(box.answer);
  assert.equal(bench.node(failing).logMember!.role, 'failed');
  // The process restarts and reads the entry from the page cache.
  bench.kill(failing);
  bench.start(failing);
  bench.waitUntil('the answer', () => box.answer !== undefined);
  assert.propertyVal(box.answer, 'kind', 'accepted');
  // Both machines are lost at once; the change must survive on each disk.
  bench.crash(leader);
  bench.crash(failing);
  bench.start(failing);
  bench.start(third);
  bench.waitForLeader();
  bench.waitUntil('the change', () => bench.version(third) === 2);
});
