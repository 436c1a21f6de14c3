import {assert} from 'chai';
import {jobSpecOf} from '../../../test-support/fakes/job_spec_of.js';
import {newJobKey} from '../../../test-support/fakes/new_job_key.js';
import {ZonesBench} from '../../../test-support/fakes/zones_bench.js';
import type {JobKey} from '../job/job_key.js';
import type {JobRequest} from '../job/job_request.js';

const WAIT_MS = 20_000;

function newKey(bench: ZonesBench, zone: string): JobKey {
  return newJobKey(zone, bench.clock.now());
}

function submission(
  bench: ZonesBench,
  key: JobKey,
  taskMs: readonly number[],
): JobRequest {
  const spec = jobSpecOf(key, taskMs, bench.clock.now());
  return {kind: 'submit', key: key.text, waitMs: WAIT_MS, spec};
}

/** Submits a job, advances the clock until it has a reply, and returns that. */
async function run(bench: ZonesBench, taskMs: readonly number[]) {
  const key = newKey(bench, 'arbat');
  const answer = bench.route('arbat', key, submission(bench, key, taskMs));
  let isDone = false;
  void answer.then(() => (isDone = true));
  while (!isDone) await bench.advance(10);
  return answer;
}

// Guards against tasks that wait in one zone while another has free slots.
test('a zone without free slots borrows spare slots of another', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 2, medeu: 10}});
  const answer = await run(bench, Array<number>(8).fill(200));
  assert.isTrue(answer.isOk);
  if (answer.isOk) assert.equal(answer.value.status, 'complete');
  assert.equal(bench.starts('arbat'), 2);
  assert.equal(bench.starts('medeu'), 6);
});

// Guards against lending that delays tasks of the lending zone.
test('a zone with waiting tasks lends no slots', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 4}});
  const own = newKey(bench, 'medeu');
  const ownTasks = Array<number>(12).fill(2_000);
  void bench.route('medeu', own, submission(bench, own, ownTasks));
  await bench.advance(500);
  const before = bench.starts('medeu');
  const key = newKey(bench, 'arbat');
  void bench.route('arbat', key, submission(bench, key, [500, 500, 500]));
  await bench.advance(1_000);
  assert.equal(bench.starts('medeu'), before);
});

// Guards against a task that keeps a lent slot after its job was cancelled.
test('cancelling a job stops its tasks on lent slots', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  const key = newKey(bench, 'arbat');
  void bench.route('arbat', key, submission(bench, key, [5_000, 5_000, 5_000]));
  await bench.advance(100);
  assert.equal(bench.starts('medeu'), 2);
  void bench.route('arbat', key, {kind: 'cancel', key: key.text});
  await bench.advance(100);
  assert.equal(bench.zone('medeu').fleet.workers.get('w-medeu')!.running, 0);
});

// Guards against a task that runs twice: while the lending zone is unreachable,
// its tasks may still be running there.
test('a task in an unreachable lending zone is not retried', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  const key = newKey(bench, 'arbat');
  const answer = bench.route(
    'arbat',
    key,
    submission(bench, key, [300, 6_000, 6_000]),
  );
  await bench.advance(100);
  bench.peers.cut.add('medeu');
  await bench.advance(10_000);
  const result = await answer;
  assert.isTrue(result.isOk);
  if (result.isOk) {
    assert.propertyVal(result.value, 'outcome', 'outcome_unknown');
  }
  assert.equal(bench.starts('arbat') + bench.starts('medeu'), 3);
});

// Guards against a task on a lent slot that is lost, or runs twice, because its
// reply was lost.
test('a short partition only delays replies of the lending zone', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  const key = newKey(bench, 'arbat');
  const answer = bench.route(
    'arbat',
    key,
    submission(bench, key, [300, 300, 300]),
  );
  await bench.advance(200);
  bench.peers.cut.add('medeu');
  await bench.advance(1_000);
  bench.peers.cut.delete('medeu');
  await bench.advance(10_000);
  const result = await answer;
  assert.isTrue(result.isOk);
  if (result.isOk) assert.equal(result.value.status, 'complete');
  assert.equal(bench.starts('arbat') + bench.starts('medeu'), 3);
});

// Guards against treating a zone whose lease expired like a worker process that
// has ended, whose announcements are refused from then on.
test('a zone lends slots again after a partition has healed', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  bench.peers.cut.add('medeu');
  await bench.advance(6_000);
  bench.peers.cut.delete('medeu');
  await bench.advance(2_000);
  await run(bench, [200, 200, 200]);
  assert.equal(bench.starts('medeu'), 2);
});
