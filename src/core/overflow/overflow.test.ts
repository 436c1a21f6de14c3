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

/** Submits a job, moves the clock until it has an answer, and returns that. */
async function run(bench: ZonesBench, taskMs: readonly number[]) {
  const key = newKey(bench, 'arbat');
  const answer = bench.route('arbat', key, submission(bench, key, taskMs));
  let isDone = false;
  void answer.then(() => (isDone = true));
  while (!isDone) await bench.advance(10);
  return answer;
}

// Guards against a zone that queues while another one has free slots.
test('a full zone borrows the spare slots of another', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 2, medeu: 10}});
  const answer = await run(bench, Array<number>(8).fill(200));
  assert.isTrue(answer.isOk);
  if (answer.isOk) assert.equal(answer.value.status, 'complete');
  assert.equal(bench.starts('arbat'), 2);
  assert.equal(bench.starts('medeu'), 6);
});

// Guards against lending that delays the lender's own work.
test('a zone with waiting tasks lends nothing', async () => {
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

// Guards against a lent task that goes on after its job was cancelled.
test('a cancel stops lent tasks', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  const key = newKey(bench, 'arbat');
  void bench.route('arbat', key, submission(bench, key, [5_000, 5_000, 5_000]));
  await bench.advance(100);
  assert.equal(bench.starts('medeu'), 2);
  void bench.route('arbat', key, {kind: 'cancel', key: key.text});
  await bench.advance(100);
  assert.equal(bench.zone('medeu').fleet.workers.get('w-medeu')!.running, 0);
});

// Guards against a second start after the loss of the lending zone: what runs
// there cannot be known to be over.
test('a task lent to a zone that is cut off is never started again', async () => {
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

// Guards against a lost answer that loses or doubles a lent task.
test('a short cut only delays the answer of a lent task', async () => {
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

// Guards against a cut zone that is refused for as long as old incarnations
// of real workers are.
test('a zone lends again after a partition has healed', async () => {
  const bench = await ZonesBench.create({zones: {arbat: 1, medeu: 10}});
  bench.peers.cut.add('medeu');
  await bench.advance(6_000);
  bench.peers.cut.delete('medeu');
  await bench.advance(2_000);
  await run(bench, [200, 200, 200]);
  assert.equal(bench.starts('medeu'), 2);
});
