import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

/** Workers of a zone from which the leader grants the zone to a holder. */
const GRANTED_ZONE_WORKERS = 50;

/** A deployment whose tasks take 2 s, and the tasks that have started. */
async function createBench(workersPerZone = 4) {
  const bench = new DeploymentBench({workersPerZone, coresPerZone: 1});
  bench.runMs = 2_000;
  const starts: string[] = [];
  for (const worker of bench.workers.values()) {
    worker.onStart = task => starts.push(task);
  }
  await bench.run(3_000);
  return {bench, starts};
}

/** Cancels a job at an entry node; the answer may come during the next `run`. */
function cancel(bench: DeploymentBench, entry: string, id: string) {
  const {path} = PoolBench.submission(id);
  const {gateway} = bench.entries.get(entry)!;
  return gateway.query({kind: 'cancel', path, id});
}

function submit(bench: DeploymentBench, entry: string, opts = {}): void {
  bench.submit(entry, 'j', {patienceMs: 10_000, ...opts});
}

function runningTasks(bench: DeploymentBench): string[] {
  return [...bench.workers.values()].flatMap(w => [...w.running.keys()]);
}

// A copy that arrived 4 s after its job was cancelled and answered started the job
// again: nothing remembered the cancel once the runs had ended.
for (const workers of [4, GRANTED_ZONE_WORKERS]) {
  test(`a late copy of a cancelled job starts nothing, ${workers} workers a zone`, async () => {
    const {bench, starts} = await createBench(workers);
    submit(bench, 'ye1');
    await bench.run(300);
    const answer = cancel(bench, 'ze1', 'j');
    await bench.run(100);
    assert.isTrue((await answer)?.found);
    assert.equal(bench.log.answerOf('j'), 'cancelled');
    await bench.run(4_000);
    assert.lengthOf(starts, 1);
    submit(bench, 'xe1');
    await bench.run(1_000);
    assert.equal(bench.log.answerOf('j'), 'cancelled');
    assert.lengthOf(starts, 1);
  });
}

// A request that waits at a suspended entry node is read after the cancel of its job
// was answered; the job was started then.
test('a request that is read after the cancel of its job starts nothing', async () => {
  const {bench, starts} = await createBench();
  bench.suspend('ye1');
  submit(bench, 'ye1');
  await bench.run(300);
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(100);
  assert.isFalse((await answer)?.found);
  await bench.run(4_000);
  bench.resume('ye1');
  await bench.run(1_500);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.isEmpty(starts);
});

// A new dispatcher knows only what entry nodes send to it, and the earlier one may
// have been the only process that knew of the cancel.
test('a late copy of a cancelled job starts nothing under a new dispatcher', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ye1');
  await bench.run(300);
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(10);
  assert.isTrue((await answer)?.found);
  bench.kill(bench.leader!);
  await bench.run(3_000);
  submit(bench, 'xe1');
  await bench.run(1_000);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
});

// The entry node that answered the cancel may be lost with the dispatcher.
test('a late copy of a cancelled job starts nothing after two losses', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ye1');
  await bench.run(300);
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(200);
  assert.isTrue((await answer)?.found);
  bench.kill(bench.leader!);
  bench.kill('ze1');
  await bench.run(3_000);
  submit(bench, 'xe1');
  await bench.run(1_000);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
});

// All core processes may be killed at once; none of them remembers the cancel then.
test('a late copy of a cancelled job starts nothing after a restart of the core', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ye1');
  await bench.run(300);
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(200);
  assert.isTrue((await answer)?.found);
  for (const id of bench.seeds) bench.kill(id);
  await bench.run(500);
  for (const id of bench.seeds) bench.startCore(id);
  await bench.run(3_000);
  submit(bench, 'xe1');
  await bench.run(1_000);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
});

// The answer to the caller of the job is lost with the dispatcher, and the entry node
// of the job submits it to the next one.
test('a job whose dispatcher is lost right after its cancel stays cancelled', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ye1');
  await bench.run(300);
  bench.cutFrom(bench.leader!, 'ye1');
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(10);
  assert.isTrue((await answer)?.found);
  assert.isUndefined(bench.log.answerOf('j'));
  bench.kill(bench.leader!);
  await bench.run(3_000);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
  assert.isEmpty(runningTasks(bench));
});

// A dispatcher that has just begun does not know the job yet. The cancel had no effect
// on the job, which ran when it was submitted again.
test('a cancel that precedes the resubmission of its job holds', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ye1');
  await bench.run(300);
  bench.kill(bench.leader!);
  bench.suspend('ye1');
  while (bench.leader === undefined) await bench.run(50);
  await bench.run(300);
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(10);
  // The job may be submitted at any moment, so neither 410 nor 2xx is true.
  assert.isUndefined(await answer);
  bench.resume('ye1');
  await bench.run(1_500);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
  assert.isEmpty(runningTasks(bench));
});

// The fallback of a zone that is cut off has heard of no cancel before it begins.
test('a late copy of a cancelled job starts nothing under a fallback', async () => {
  const {bench, starts} = await createBench();
  submit(bench, 'ze1');
  await bench.run(300);
  const answer = cancel(bench, 'ze2', 'j');
  await bench.run(200);
  assert.isTrue((await answer)?.found);
  bench.isolate(bench.inZone('z'), bench.outsideOf('z'));
  await bench.run(5_000);
  assert.isNotEmpty(bench.fallbacks());
  submit(bench, 'ze1');
  await bench.run(1_000);
  assert.equal(bench.log.answerOf('j'), 'cancelled');
  assert.lengthOf(starts, 1);
});

// Otherwise a request to a route that was removed would be answered with success.
test('a copy of a cancelled job whose queue was removed is answered as any other', async () => {
  const {bench, starts} = await createBench();
  const answer = cancel(bench, 'ze1', 'j');
  await bench.run(100);
  assert.isFalse((await answer)?.found);
  submit(bench, 'ye1', {queue: 'removed'});
  await bench.run(500);
  assert.equal(bench.log.answerOf('j'), 'no_queue');
  assert.isEmpty(starts);
});
