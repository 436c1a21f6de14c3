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

// The leader may have acknowledged the order just before the partition.
test('a node that lacks the last order of the leader is no fallback', async () => {
  const bench = new ZonePoolBench();
  bench.evacuate([], 1, ['ye1', 'ze1', 'ze2']);
  bench.evacuate(['z'], 2, ['c1']);
  await bench.run(6_000);
  bench.isolate('z');
  await bench.run(5_000);
  assert.deepEqual(bench.dispatching(), []);
  bench.evacuate([], 3, ['ze2']);
  await bench.run(1_500);
  assert.deepEqual(bench.dispatching(), ['ze2']);
});

test('a partitioned zone that is evacuated has no fallback', async () => {
  const bench = new ZonePoolBench();
  bench.evacuate(['z'], 2, ['c1', 'ye1', 'ze1', 'ze2']);
  await bench.run(6_000);
  bench.isolate('z');
  await bench.run(3_000);
  bench.submit('ze1', 'a');
  await bench.run(2_000);
  assert.deepEqual(bench.dispatching(), []);
  assert.notEqual(bench.answerOf('a'), 'completed');
});

// The order reaches the zone by way of a core node in it.
test('a fallback that learns of the order starts nothing more', async () => {
  const bench = await createRunningBench();
  bench.isolate('z');
  await bench.run(3_000);
  assert.deepEqual(bench.dispatching(), ['ze1']);
  bench.evacuate(['z'], 2, ['ze1', 'ze2']);
  const workers = [...bench.workers.values()].filter(
    ({report}) => report.zone === 'z',
  );
  const count = () => workers.flatMap(w => w.history).length;
  const before = count();
  bench.submit('ze1', 'a');
  await bench.run(1_000);
  assert.equal(count(), before);
});

// Guards against two fallbacks of a zone that workers cannot tell apart, after
// which both start runs on the same workers.
test('two fallbacks that do not hear each other use different tokens', async () => {
  for (const [from, to] of [
    ['ze1', 'ze2'],
    ['ze2', 'ze1'],
  ] as const) {
    const bench = await createRunningBench();
    bench.peers.cut(from, to);
    bench.term = undefined;
    const nodes = new Map<number, Set<string>>();
    for (let n = 0; n < 250; n += 1) {
      await bench.run(20);
      for (const id of bench.dispatching()) {
        const {fallback} = bench.entries.get(id)!;
        const {token, zone} = fallback.claim(bench.clock.now())!;
        if (zone !== 'z') continue;
        nodes.set(token, (nodes.get(token) ?? new Set()).add(id));
      }
    }
    assert.isAbove(nodes.size, 0);
    for (const ids of nodes.values()) assert.lengthOf([...ids], 1);
  }
});

// After a change was acknowledged and all core nodes were killed, the fallbacks
// answered 404 for the route that it had added.
test('a fallback denies no queue that a newer configuration may have', async () => {
  const bench = await createRunningBench();
  bench.term = undefined;
  await bench.run(3_500);
  assert.include(bench.dispatching(), 'ze1');
  bench.submit('ze1', 'a', {queue: 'new'});
  await bench.run(500);
  assert.equal(bench.answerOf('a'), 'refused');
  const {gateway} = bench.entries.get('ze1')!;
  const query = {kind: 'pending', host: 'h', path: '/new/'} as const;
  assert.isUndefined(await gateway.query(query));
});
