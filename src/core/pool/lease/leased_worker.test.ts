import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {RunEnd} from './run_end.js';

test('a job runs on the workers and is answered once', async () => {
  const bench = new PoolBench(3);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 5}));
  await bench.run(400, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.lengthOf(runs, 5);
});

test('a started run continues after its start reply is lost', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  bench.client.faultOf = call => (call === 'start' ? 'answer_lost' : 'ok');
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 100}));
  await bench.run(60, dispatcher);
  bench.client.faultOf = () => 'ok';
  await bench.run(600, dispatcher);
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.lengthOf(runs, 1);
});

test('a task whose start order is lost still runs, without overlap', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  let isFirst = true;
  bench.client.faultOf = call => {
    if (call !== 'start' || !isFirst) return 'ok';
    isFirst = false;
    return 'order_lost';
  };
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(1_500, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

test('tasks of an unreachable worker run again after its lease expires', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 700;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit(
    'e',
    PoolBench.submission('j', {tasks: 3, estimatedMs: 700}),
  );
  await bench.run(50, dispatcher);
  bench.client.faultOf = (_call, id) => (id === 'w0' ? 'order_lost' : 'ok');
  await bench.run(4_000, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

test('leases expire while no majority confirms the leader', async () => {
  const bench = new PoolBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 5_000;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 5_000}));
  await bench.run(50, dispatcher);
  bench.isConfirmed = false;
  await bench.run(1_600, dispatcher);
  worker!.processDueEnds();
  assert.equal(worker!.running.size, 0);
});

test('a draining worker gets no starts', async () => {
  const bench = new PoolBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  bench.workers.set('w0', bench.workers.get('w0')!);
  bench.report('w0', {isDraining: true});
  dispatcher.tick(bench.clock.now());
  dispatcher.submit('e', PoolBench.submission('j'));
  bench.clock.advance(5);
  const starts = bench.client.calls.filter(c => c.call === 'start');
  assert.lengthOf(starts, 0);
});

test('a job fails when a task has used up its attempts', async () => {
  const bench = new PoolBench(4);
  for (const worker of bench.workers.values()) {
    worker.endOf = () => RunEnd.failed;
    worker.runMs = () => 10;
  }
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(1_000, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'failed');
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.lengthOf(runs, 3);
});

test('a dropped job frees its workers', async () => {
  const bench = new PoolBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 5_000;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 5_000}));
  await bench.run(50, dispatcher);
  dispatcher.drop('j', 'e', 'caller_gone');
  await bench.run(50, dispatcher);
  assert.equal(worker!.running.size, 0);
  assert.equal(dispatcher.openJobs, 0);
});

// The steady clock does not count the time for which a machine is suspended, so
// the dispatcher's own checks pass when it wakes. Another dispatcher may have
// taken over meanwhile.
test('the orders of a dispatcher that was suspended start nothing', async () => {
  const bench = new PoolBench(1, 1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  const [worker] = bench.workers.values();
  worker!.aheadMs += 5_000;
  const ordersOf = (call: string) =>
    bench.client.calls.filter(c => c.call === call).length;
  const polls = ordersOf('look');
  dispatcher.submit('e', PoolBench.submission('j'));
  while (ordersOf('look') === polls) {
    await bench.run(1, dispatcher);
    assert.equal(worker!.running.size, 0);
  }
  assert.isAbove(ordersOf('start'), 0);
  await bench.run(1_500, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.lengthOf(worker!.history, 1);
});

// Guards against starts that are repeated until the next poll, each refused since it
// rests on the same old reading of the worker's clock.
test('a worker that refuses a start as late shows its clock', async () => {
  const bench = new PoolBench(1, 1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  const [worker] = bench.workers.values();
  worker!.aheadMs += 5_000;
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(50, dispatcher);
  assert.equal(worker!.running.size, 1);
  const starts = bench.client.calls.filter(c => c.call === 'start');
  assert.lengthOf(starts, 2);
});

// Guards against starts on a worker that does not check its capacity, while runs
// of an earlier dispatcher are being stopped whose demand nobody knows.
test('a worker gets no starts until its unclaimed runs have ended', async () => {
  const bench = new PoolBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 60_000;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  const unclaimed = PoolBench.submission('j', {estimatedMs: 60_000});
  first.submit('e', unclaimed);
  await bench.run(50, first);
  first.close();
  bench.client.faultOf = call => (call === 'stop' ? 'order_lost' : 'ok');
  const second = bench.createDispatcher({term: 2});
  // The run is being stopped, and its lease is not over.
  await bench.run(400, second);
  second.submit('e', PoolBench.submission('k', {tasks: 2}));
  await bench.run(100, second);
  assert.deepEqual([...worker!.running.keys()], ['j.0.0.0']);
  bench.client.faultOf = () => 'ok';
  worker!.runMs = () => 100;
  await bench.run(1_500, second);
  assert.equal(bench.answers.get('k')?.kind, 'completed');
});

// A dispatcher that was closed, or not confirmed, polled after a lost reply and so
// prolonged its runs for longer than its successor waits.
for (const isClosed of [true, false]) {
  test(`a lost reply prolongs no lease without permission (closed: ${isClosed})`, async () => {
    const bench = new PoolBench(1);
    for (const worker of bench.workers.values()) worker.runMs = () => 60_000;
    const dispatcher = bench.createDispatcher();
    await bench.run(50, dispatcher);
    bench.client.faultOf = call => (call === 'start' ? 'answer_lost' : 'ok');
    dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 60_000}));
    await bench.run(20, dispatcher);
    if (isClosed) dispatcher.close();
    else bench.isConfirmed = false;
    await bench.run(1_100, dispatcher);
    for (const worker of bench.workers.values()) worker.processDueEnds();
    const [run] = [...bench.workers.values()].flatMap(w => w.history);
    assert.isDefined(run);
  });
}

// Guards against two runs at once: the new process of a worker obeyed the earlier
// dispatcher, and the token that the one before had accepted settled the job.
test('a job is not settled by the token of a worker that has restarted', async () => {
  const bench = new PoolBench(2, 1);
  for (const worker of bench.workers.values()) worker.runMs = () => 900;
  const earlier = bench.createDispatcher({term: 1});
  await bench.run(50, earlier);
  const later = bench.createDispatcher({term: 2});
  await bench.run(1_500, earlier, later);
  bench.workers.get('w0')!.restart();
  const job = PoolBench.submission('j', {estimatedMs: 900});
  earlier.submit('e', job);
  await bench.run(50, earlier);
  assert.lengthOf([...bench.workers.get('w0')!.running], 1);
  bench.tick(later);
  const settling = {settleMs: 1_800, earlierToken: earlier.token};
  later.submit('e', {...job, ...settling});
  await bench.run(2_000, later);
  assert.deepEqual(bench.overlaps(), []);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// Guards against a run that outlives its contact: the leader, whose token was raised,
// started a task beside a run of the fallback that it did not know.
test('a start after a raised token does not prolong the runs of a fallback', async () => {
  const bench = new PoolBench(1, 2);
  const [worker] = bench.workers.values();
  worker!.runMs = task => (task.startsWith('j.') ? 60_000 : 100);
  const leader = bench.createDispatcher({term: 1});
  await bench.run(1_500, leader);
  const fallback = bench.createDispatcher({term: 2});
  await bench.run(50, leader, fallback);
  fallback.submit('e', PoolBench.submission('j', {estimatedMs: 60_000}));
  await bench.run(50, leader, fallback);
  fallback.close();
  const closedAt = bench.clock.now();
  bench.client.faultOf = call => (call === 'stop' ? 'order_lost' : 'ok');
  await bench.run(500, leader);
  leader.raiseToken(3_000, new Set(['z']));
  leader.submit('e', PoolBench.submission('k'));
  await bench.run(2_000, leader);
  const run = worker!.history.find(({task}) => task.startsWith('j.'));
  assert.isAtMost(run!.to - closedAt, 1_000);
  assert.equal(bench.answers.get('k')?.kind, 'completed');
});

// Guards against a second run: the new process forgot ends of its own, which were
// acknowledged by the numbers of the process before, so that its run seemed lost.
test('ends of a worker that has restarted unnoticed are not acknowledged', async () => {
  const bench = new PoolBench(1, 4);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('a', {tasks: 4}));
  await bench.run(1_000, dispatcher);
  const [worker] = bench.workers.values();
  worker!.restart();
  const before = worker!.history.length;
  dispatcher.submit('e', PoolBench.submission('b'));
  await bench.run(1_000, dispatcher);
  assert.equal(bench.answers.get('b')?.kind, 'completed');
  assert.lengthOf(worker!.history, before + 1);
});
