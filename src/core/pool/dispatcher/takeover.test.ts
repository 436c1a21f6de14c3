import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

// A job can be resubmitted before its worker has replied to the first poll.
test('a run of the earlier leader is adopted when its worker replies late', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 900;
  const first = bench.createDispatcher({term: 1});
  await bench.run(100, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 900}));
  await bench.run(100, first);
  first.close();
  bench.client.faultOf = (call, id) =>
    call === 'look' && id === 'w0' ? 'order_lost' : 'ok';
  const second = bench.createDispatcher({term: 2});
  second.submit('e', PoolBench.submission('j', {estimatedMs: 900}));
  await bench.run(200, second);
  bench.client.faultOf = () => 'ok';
  await bench.run(2_500, second);
  assert.deepEqual(bench.overlaps(), []);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

test('the end of an earlier run counts when its job is resubmitted', async () => {
  const bench = new PoolBench(1);
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j'));
  await bench.run(20, first);
  first.close();
  // The task ends while there is no leader.
  await bench.run(200);
  const second = bench.createDispatcher({term: 2});
  await bench.run(30, second);
  second.submit('e', PoolBench.submission('j'));
  await bench.run(1_500, second);
  const [worker] = bench.workers.values();
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.lengthOf(worker!.history, 1);
});

test('runs of an earlier leader that no job claims are stopped', async () => {
  const bench = new PoolBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 60_000;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 60_000}));
  await bench.run(50, first);
  assert.equal(worker!.running.size, 1);
  first.close();
  const second = bench.createDispatcher({term: 2});
  await bench.run(1_500, second);
  assert.equal(worker!.running.size, 0);
});

// Guards against an adopted run that counts as lost while it is active: the lease is
// not extended before all runs of the worker are claimed, and its end was not known.
test('an adopted run continues while another run is not claimed yet', async () => {
  const bench = new PoolBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 900;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  for (const id of ['a', 'b']) {
    first.submit('e', PoolBench.submission(id, {estimatedMs: 900}));
  }
  await bench.run(300, first);
  first.close();
  const second = bench.createDispatcher({term: 2});
  await bench.run(50, second);
  second.submit('e', PoolBench.submission('a', {estimatedMs: 900}));
  await bench.run(150, second);
  assert.notInclude(
    bench.jobEvents.map(({event}) => event),
    'run_ended',
  );
  second.submit('e', PoolBench.submission('b', {estimatedMs: 900}));
  await bench.run(1_000, second);
  assert.equal(bench.answers.get('a')?.kind, 'completed');
  assert.equal(bench.answers.get('b')?.kind, 'completed');
  assert.lengthOf(worker!.history, 2);
});

// A partitioned worker may continue until its lease expires.
test('no task starts while an unreachable worker may run it', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 800;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {tasks: 2, estimatedMs: 800}));
  await bench.run(50, first);
  first.close();
  bench.client.faultOf = (_call, id) => (id === 'w0' ? 'order_lost' : 'ok');
  const second = bench.createDispatcher({term: 2});
  second.submit('e', PoolBench.submission('j', {tasks: 2, estimatedMs: 800}));
  await bench.run(4_000, second);
  assert.deepEqual(bench.overlaps(), []);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// After a full restart, the workers report again within one or two seconds.
test('a new leader without workers keeps jobs until workers can have reported', async () => {
  const bench = new PoolBench(0);
  const dispatcher = bench.createDispatcher({
    isRegistryComplete: false,
    earlierLeasesMs: 0,
  });
  await bench.run(50, dispatcher);
  const opts = {estimatedMs: 500};
  dispatcher.submit('e', PoolBench.submission('early', opts));
  await bench.run(300, dispatcher);
  assert.isUndefined(bench.answers.get('early'));
  bench.addWorker('w0').runMs = () => 500;
  await bench.run(1_000, dispatcher);
  assert.equal(bench.answers.get('early')?.kind, 'completed');
});

test('a leader refuses jobs immediately when no workers have reported in time', async () => {
  const bench = new PoolBench(0);
  const dispatcher = bench.createDispatcher({
    isRegistryComplete: false,
    earlierLeasesMs: 0,
  });
  await bench.run(5_000, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j'));
  assert.equal(bench.answers.get('j')?.kind, 'refused');
});

/** A job that an earlier dispatcher under token 1,000 had. */
function resubmission(id: string) {
  const opts = {estimatedMs: 800};
  const settle = {settleMs: 1_800, earlierToken: 1_000};
  return {...PoolBench.submission(id, opts), ...settle};
}

test('a job of a lost holder starts when all workers accept the new token', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 800;
  const dispatcher = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  dispatcher.submit('e', resubmission('j'));
  await bench.run(200, dispatcher);
  const running = [...bench.workers.values()].flatMap(w => [...w.running]);
  assert.lengthOf(running, 1);
});

// The earlier dispatcher may reach a worker that its successor does not reach.
test('a job of a lost holder waits while a worker may run it', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 800;
  bench.client.faultOf = (_call, id) => (id === 'w0' ? 'order_lost' : 'ok');
  const dispatcher = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  dispatcher.submit('e', resubmission('j'));
  dispatcher.submit('e', PoolBench.submission('new', {estimatedMs: 800}));
  const {running} = bench.workers.get('w1')!;
  await bench.run(1_700, dispatcher);
  assert.equal(bench.answers.get('new')?.kind, 'completed');
  assert.equal(running.size, 0);
  await bench.run(200, dispatcher);
  assert.equal(running.size, 1);
});

// A leader that takes a zone back from a fallback raises its token later.
test('an acceptance of a lower token than the earlier one does not count', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 3_000;
  const dispatcher = bench.createDispatcher({term: 1, earlierLeasesMs: 0});
  await bench.run(100, dispatcher);
  dispatcher.submit('e', {...resubmission('j'), earlierToken: 1_001});
  await bench.run(1_000, dispatcher);
  const running = [...bench.workers.values()].flatMap(w => [...w.running]);
  assert.isEmpty(running);
});

// Runs that no job claims in time are stopped, which takes a moment.
test('a job that comes late does not start beside its own run', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 3_000;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 3_000}));
  await bench.run(50, first);
  first.close();
  const second = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  bench.client.faultOf = call => (call === 'stop' ? 'order_lost' : 'ok');
  await bench.run(1_100, second);
  second.submit('e', resubmission('j'));
  await bench.run(1_000, second);
  bench.client.faultOf = () => 'ok';
  await bench.run(4_000, second);
  assert.isEmpty(bench.overlaps());
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// Guards against two runs at once of a job whose first entry node was lost: its
// caller sends it again elsewhere while the run that nobody claimed is stopped.
test('a job sent again by its caller does not start beside its own run', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) {
    worker.runMs = () => 3_000;
    worker.stopMs = 50;
  }
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 3_000}));
  await bench.run(50, first);
  first.close();
  const second = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  while (bench.client.calls.every(c => c.call !== 'stop')) {
    await bench.run(1, second);
  }
  second.submit('f', PoolBench.submission('j', {estimatedMs: 3_000}));
  await bench.run(4_000, second);
  assert.isEmpty(bench.overlaps());
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// Guards against runs that lapse at a planned change of dispatcher since the caller
// of another run of their worker has gone: the lease is not extended until that run
// has been stopped, and a worker that was about to be polled has 330 ms left.
test('runs beside one that no job claims continue', async () => {
  for (const phaseMs of [220, 250]) {
    const bench = new DeploymentBench();
    bench.runMs = 2_000;
    for (const worker of bench.workers.values()) worker.stopMs = 50;
    await bench.run(6_000);
    const ids = Array.from({length: 90}, (_, n) => `j${n}`);
    const job = {estimatedMs: bench.runMs, patienceMs: 8_000};
    for (const id of ids) bench.submit('ye1', id, job);
    await bench.run(600 + phaseMs);
    bench.announceDrain(bench.holders()['y']![0]!);
    for (const id of ids.slice(0, 30)) bench.disconnectCaller(id);
    await bench.run(3_000);
    assert.isAbove(bench.log.count('run_unclaimed'), 0);
    assert.isEmpty(
      bench.log.events.filter(({fields}) => fields['how'] === 'lapsed'),
    );
  }
});
