import {assert} from 'chai';
import {ZonePoolBench} from '../../../../test-support/fakes/pool/zone_pool_bench.js';

async function createRunningBench(): Promise<ZonePoolBench> {
  const bench = new ZonePoolBench();
  await bench.run(6_000);
  bench.submit('ze1', 'before');
  await bench.run(500);
  assert.equal(bench.answerOf('before'), 'completed');
  return bench;
}

test('a partitioned zone is served by a fallback', async () => {
  const bench = await createRunningBench();
  bench.isolate('z');
  await bench.run(3_000);
  assert.deepEqual(bench.dispatching(), ['ze1']);
  bench.submit('ze1', 'a');
  bench.submit('ze2', 'b', {tasks: 4});
  await bench.run(800);
  assert.equal(bench.answerOf('a'), 'completed');
  assert.equal(bench.answerOf('b'), 'completed');
  // Meanwhile, the leader serves the other zone.
  bench.submit('ye1', 'c');
  await bench.run(500);
  assert.equal(bench.answerOf('c'), 'completed');
});

test('without core nodes, each zone is served by a fallback', async () => {
  const bench = await createRunningBench();
  bench.term = undefined;
  await bench.run(3_500);
  assert.deepEqual(bench.dispatching(), ['ye1', 'ze1']);
  bench.submit('ye1', 'a');
  bench.submit('ze2', 'b');
  await bench.run(500);
  assert.equal(bench.answerOf('a'), 'completed');
  assert.equal(bench.answerOf('b'), 'completed');
});

test('the leader takes a zone back and adopts its active runs', async () => {
  const bench = await createRunningBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 1_500;
  bench.isolate('z');
  await bench.run(3_000);
  bench.submit('ze2', 'long', {estimatedMs: 1_500});
  await bench.run(300);
  bench.heal();
  await bench.run(4_000);
  assert.deepEqual(bench.dispatching(), []);
  assert.equal(bench.answerOf('long'), 'completed');
  const runs = [...bench.workers.values()].flatMap(w =>
    w.history.filter(h => h.task.startsWith('long')),
  );
  assert.lengthOf(runs, 1);
  // The zone's workers accept orders of the leader again.
  for (const id of ['p', 'q', 'r', 's']) {
    bench.submit('ye1', id, {tasks: 2, estimatedMs: 1_500});
  }
  await bench.run(2_000);
  const busy = [...bench.workers.values()].filter(w =>
    w.history.some(h => h.task.startsWith('p') || h.task.startsWith('s')),
  );
  assert.isAbove(busy.length, 1);
  assert.deepEqual(bench.overlaps(), []);
});

test('a new leader after an outage takes over from the fallbacks', async () => {
  const bench = await createRunningBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 1_500;
  bench.term = undefined;
  await bench.run(3_500);
  bench.submit('ze2', 'long', {estimatedMs: 1_500});
  await bench.run(300);
  bench.term = 2;
  await bench.run(4_000);
  assert.equal(bench.answerOf('long'), 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

// Only one node has lost contact; it must not take workers from the leader.
test('no fallback starts while the leader uses the workers of the zone', async () => {
  const bench = await createRunningBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 400;
  bench.peers.isolate(['ze1'], ['c1', 'ze2', 'ye1']);
  for (let n = 0; n < 30; n += 1) {
    bench.submit('ze2', `j${n}`, {tasks: 4, estimatedMs: 400});
    await bench.run(200);
  }
  assert.deepEqual(bench.dispatching(), []);
  assert.include(
    bench.events.filter(e => e.node === 'ze1').map(e => e.event),
    'fallback_held_back',
  );
});

test('no fallback starts while another node of the zone has a leader', async () => {
  const bench = await createRunningBench();
  bench.peers.isolate(['ze1'], ['c1']);
  await bench.run(6_000);
  assert.deepEqual(bench.dispatching(), []);
  const events = bench.events.filter(e => e.node === 'ze1').map(e => e.event);
  assert.notInclude(events, 'fallback_held_back');
});

test('a node with an older configuration than the last leader is no fallback', async () => {
  const bench = new ZonePoolBench();
  bench.revisions.set('c1', 2);
  await bench.run(6_000);
  bench.isolate('z');
  await bench.run(5_000);
  assert.deepEqual(bench.dispatching(), []);
  bench.revisions.set('ze2', 2);
  await bench.run(1_500);
  assert.deepEqual(bench.dispatching(), ['ze2']);
});

// A leader stops the jobs of an unreachable entry node only after a timeout.
test('jobs of the leader run again after its runs have ended', async () => {
  const bench = await createRunningBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 2_000;
  // The tasks of the job run in the other zone.
  bench.submit('ze1', 'j', {estimatedMs: 2_000, tasks: 2});
  await bench.run(300);
  bench.isolate('z');
  await bench.run(6_000);
  assert.equal(bench.answerOf('j'), 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

test('a leader with an empty registry gets the workers from the zones', async () => {
  const bench = await createRunningBench();
  bench.doWorkersReport = false;
  bench.restartCore(2);
  await bench.run(2_500);
  bench.submit('ze1', 'a');
  await bench.run(500);
  assert.equal(bench.answerOf('a'), 'completed');
});

// The leader may have run it on workers of another zone, which the fallback does
// not see.
test('a fallback does not refuse a job that the leader had as not run', async () => {
  const bench = await createRunningBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 2_000;
  // The zone has room for one of the jobs only, so the other one is refused.
  for (const id of ['j', 'k']) {
    bench.submit('ze1', id, {tasks: 4, estimatedMs: 400});
  }
  await bench.run(100);
  bench.isolate('z');
  while (bench.dispatching().length === 0) await bench.run(20);
  await bench.run(500);
  const answers = ['j', 'k'].flatMap(id => bench.answers.get(id)!);
  assert.deepEqual(
    answers.map(a => a.kind),
    ['given_up'],
  );
  assert.notDeepInclude(answers[0], {reason: 'lead_lost'});
});

// Its caller's connection broke; another entry node does not know that the job
// was submitted before.
test('a new fallback does not refuse a job that comes again as not run', async () => {
  const bench = await createRunningBench();
  bench.isolate('z');
  while (bench.dispatching().length === 0) await bench.run(20);
  for (const worker of bench.workers.values()) worker.runMs = () => 2_000;
  bench.submit('ze1', 'first', {tasks: 4, estimatedMs: 2_000});
  await bench.run(100);
  bench.submit('ze2', 'again', {tasks: 4});
  await bench.run(500);
  assert.equal(bench.answerOf('again'), 'given_up');
});
