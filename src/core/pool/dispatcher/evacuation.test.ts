import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {RunEnd} from '../lease/run_end.js';

/** Workers `a0`, `a1`, ... in zone `a` and as many in zone `b`. */
function createBench(each: number): PoolBench {
  const bench = new PoolBench(0);
  for (let n = 0; n < each; n += 1) {
    for (const zone of ['a', 'b']) {
      bench.addWorker(`${zone}${n}`, 2, 1, `${zone}${n}:1`, zone);
    }
  }
  return bench;
}

function startsIn(bench: PoolBench, zone: string, since: number): number {
  return [...bench.workers.values()]
    .filter(({report}) => report.zone === zone)
    .flatMap(w => w.history.map(h => h.from))
    .filter(from => from >= since).length;
}

test('no task starts in an evacuated zone, and its runs finish', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  for (const worker of bench.workers.values()) worker.runMs = () => 500;
  await bench.run(50, dispatcher);
  dispatcher.submit(
    'e',
    PoolBench.submission('j', {tasks: 4, estimatedMs: 500}),
  );
  await bench.run(100, dispatcher);
  bench.evacuate('a');
  const since = bench.clock.now();
  for (const id of ['k', 'l']) {
    dispatcher.submit('e', PoolBench.submission(id, {estimatedMs: 500}));
  }
  await bench.run(2_000, dispatcher);
  assert.equal(startsIn(bench, 'a', since), 0);
  for (const id of ['j', 'k', 'l']) {
    assert.equal(bench.answers.get(id)?.kind, 'completed');
  }
  // None of the runs in the zone was stopped and started elsewhere.
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.lengthOf(runs, 6);
  assert.include(bench.events, 'zone_evacuated');
});

test('a new leader starts nothing in an evacuated zone', async () => {
  const bench = createBench(1);
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  bench.evacuate('a');
  first.close();
  const since = bench.clock.now();
  const second = bench.createDispatcher({term: 2});
  for (let n = 0; n < 6; n += 1) {
    second.submit('e', PoolBench.submission(`j${n}`, {estimatedMs: 400}));
  }
  await bench.run(3_000, second);
  assert.equal(startsIn(bench, 'a', since), 0);
  assert.isAbove(startsIn(bench, 'b', since), 0);
});

// Its zone is known only from the report.
test('a worker of an evacuated zone that reports late gets no starts', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  bench.evacuate('a');
  await bench.run(100, dispatcher);
  bench.addWorker('a9', 2, 1, 'a9:1', 'a');
  for (let n = 0; n < 6; n += 1) {
    dispatcher.submit('e', PoolBench.submission(`j${n}`));
    await bench.run(50, dispatcher);
  }
  await bench.run(500, dispatcher);
  assert.equal(startsIn(bench, 'a', 0), 0);
});

// The order may still reach the worker; its lease bounds how late.
test('a start in flight at the order runs once, and nothing starts after it', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  for (const worker of bench.workers.values()) worker.runMs = () => 300;
  await bench.run(50, dispatcher);
  bench.client.faultOf = (call, id) =>
    call === 'start' && id.startsWith('a') ? 'answer_lost' : 'ok';
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 4}));
  await bench.run(4, dispatcher);
  bench.evacuate('a');
  const since = bench.clock.now();
  await bench.run(3_000, dispatcher);
  assert.equal(startsIn(bench, 'a', since), 0);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

test('a lost start in an evacuated zone is repeated elsewhere', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  bench.client.faultOf = (call, id) =>
    call === 'start' && id.startsWith('a') ? 'order_lost' : 'ok';
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 4}));
  await bench.run(4, dispatcher);
  bench.evacuate('a');
  bench.client.faultOf = () => 'ok';
  await bench.run(3_000, dispatcher);
  assert.equal(startsIn(bench, 'a', 0), 0);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// What remains cannot serve the backlog in time.
test('the forecast counts only the remaining workers', async () => {
  const bench = createBench(4);
  const dispatcher = bench.createDispatcher();
  for (const worker of bench.workers.values()) worker.runMs = () => 400;
  await bench.run(50, dispatcher);
  bench.evacuate('a');
  for (let n = 0; n < 60; n += 1) {
    dispatcher.submit('e', PoolBench.submission(`j${n}`, {estimatedMs: 400}));
  }
  await bench.run(100, dispatcher);
  const refused = [...bench.answers.values()].filter(a => a.kind === 'refused');
  assert.isAbove(refused.length, 10);
});

test('a job that only an evacuated zone could run is refused at once', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(5_000, dispatcher);
  bench.evacuate('a', 'b');
  dispatcher.submit('e', PoolBench.submission('j'));
  assert.equal(bench.answers.get('j')?.kind, 'refused');
});

test('load returns to the workers of a zone in steps', async () => {
  const bench = createBench(8);
  const dispatcher = bench.createDispatcher();
  bench.evacuate('a');
  await bench.run(50, dispatcher);
  bench.evacuate();
  const used: number[] = [];
  for (let second = 0; second < 4; second += 1) {
    const since = bench.clock.now();
    for (let n = 0; n < 9; n += 1) {
      const id = `j${second}${n}`;
      dispatcher.submit('e', PoolBench.submission(id, {tasks: 40}));
      await bench.run(n < 8 ? 100 : 200, dispatcher);
    }
    const busy = [...bench.workers.values()].filter(
      ({report, history}) =>
        report.zone === 'a' && history.some(h => h.from >= since + 40),
    );
    used.push(busy.length);
  }
  assert.deepEqual(used, [2, 4, 6, 8]);
  assert.include(bench.events, 'zone_restored');
});

// A worker that failed before the evacuation would otherwise stay avoided.
test('the failures of a worker are counted anew after its zone returns', async () => {
  const bench = createBench(1);
  const dispatcher = bench.createDispatcher();
  bench.workers.get('a0')!.endOf = () => RunEnd.failed;
  await bench.run(50, dispatcher);
  const startAll = async (id: string) => {
    const since = bench.clock.now();
    dispatcher.submit('e', PoolBench.submission(id, {tasks: 4}));
    await bench.run(60, dispatcher);
    const running = bench.workers.get('a0')!.running.size;
    await bench.run(1_000, dispatcher);
    return {running, starts: startsIn(bench, 'a', since)};
  };
  await startAll('j');
  assert.equal((await startAll('k')).starts, 0);
  bench.evacuate('a');
  await bench.run(40, dispatcher);
  bench.evacuate();
  bench.workers.get('a0')!.endOf = () => RunEnd.done;
  await bench.run(40, dispatcher);
  assert.equal((await startAll('l')).running, 2);
});

test('a leader that takes over during a return continues it', async () => {
  const bench = createBench(8);
  const first = bench.createDispatcher({term: 1});
  bench.evacuate('a');
  await bench.run(50, first);
  bench.evacuate();
  await bench.run(50, first);
  first.close();
  const second = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  await bench.run(50, second);
  second.submit('e', PoolBench.submission('j', {tasks: 32}));
  await bench.run(60, second);
  const busy = [...bench.workers.values()].filter(
    ({report, running}) => report.zone === 'a' && running.size > 0,
  );
  assert.lengthOf(busy, 2);
});
