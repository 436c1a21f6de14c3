import {assert} from 'chai';
import {ZonePoolBench} from '../../../test-support/fakes/pool/zone_pool_bench.js';

async function settledBench(): Promise<ZonePoolBench> {
  const bench = new ZonePoolBench();
  await bench.run(6_000);
  bench.submit('ze1', 'before');
  await bench.run(500);
  assert.equal(bench.answerOf('before'), 'completed');
  return bench;
}

test('a zone that is cut off serves itself', async () => {
  const bench = await settledBench();
  bench.isolate('z');
  await bench.run(3_000);
  assert.deepEqual(bench.dispatching(), ['ze1']);
  bench.submit('ze1', 'a');
  bench.submit('ze2', 'b', {tasks: 4});
  await bench.run(800);
  assert.equal(bench.answerOf('a'), 'completed');
  assert.equal(bench.answerOf('b'), 'completed');
  // The other zone is served by the lead all the while.
  bench.submit('ye1', 'c');
  await bench.run(500);
  assert.equal(bench.answerOf('c'), 'completed');
});

test('without any core node each zone serves itself', async () => {
  const bench = await settledBench();
  bench.term = undefined;
  await bench.run(3_500);
  assert.deepEqual(bench.dispatching(), ['ye1', 'ze1']);
  bench.submit('ye1', 'a');
  bench.submit('ze2', 'b');
  await bench.run(500);
  assert.equal(bench.answerOf('a'), 'completed');
  assert.equal(bench.answerOf('b'), 'completed');
});

test('the lead takes a zone back and adopts what runs there', async () => {
  const bench = await settledBench();
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
  // The zone's workers obey the lead again.
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

test('a new lead after an outage takes over from the zones', async () => {
  const bench = await settledBench();
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

// A node that alone has lost the lead must not take workers from it.
test('a node does not serve a zone whose workers a lead uses', async () => {
  const bench = await settledBench();
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

test('a node does not serve a zone while another there has the lead', async () => {
  const bench = await settledBench();
  bench.peers.isolate(['ze1'], ['c1']);
  await bench.run(6_000);
  assert.deepEqual(bench.dispatching(), []);
  const events = bench.events.filter(e => e.node === 'ze1').map(e => e.event);
  assert.notInclude(events, 'fallback_held_back');
});

test('a node with older queues than the lead had does not dispatch', async () => {
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

// A lead that is cut off from a node stops the node's jobs only after a time.
test('jobs that the lead had run again once its part is over', async () => {
  const bench = await settledBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 2_000;
  // Its tasks run in the other zone.
  bench.submit('ze1', 'j', {estimatedMs: 2_000, tasks: 2});
  await bench.run(300);
  bench.isolate('z');
  await bench.run(6_000);
  assert.equal(bench.answerOf('j'), 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

test('a lead with an empty book learns the workers of the zones', async () => {
  const bench = await settledBench();
  bench.doWorkersReport = false;
  bench.restartCore(2);
  await bench.run(2_500);
  bench.submit('ze1', 'a');
  await bench.run(500);
  assert.equal(bench.answerOf('a'), 'completed');
});
