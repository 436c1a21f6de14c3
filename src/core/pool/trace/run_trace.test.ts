import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

/** Fields of the first event of a kind that a dispatcher has recorded. */
function fieldsOf(bench: PoolBench, event: string) {
  return bench.jobEvents.find(e => e.event === event)?.fields ?? {};
}

/** A job that the dispatcher on node `c1` has had. */
function resubmission(id: string) {
  return {...PoolBench.submission(id), earlierNode: 'c1'};
}

// At a few thousand starts a second, a line for each costs too much.
test('ordinary runs leave no line', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 4}));
  await bench.run(400, dispatcher);
  const events = bench.jobEvents.map(e => e.event);
  assert.deepEqual(events, ['job_accepted', 'job_completed']);
});

test('a start after a lost run names the run and how it was lost', async () => {
  const bench = new PoolBench(2);
  for (const worker of bench.workers.values()) worker.runMs = () => 700;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 700}));
  await bench.run(50, dispatcher);
  const lost = [...bench.workers.values()].find(w => w.running.size > 0)!;
  bench.client.faultOf = (_call, id) =>
    id === lost.report.id ? 'order_lost' : 'ok';
  await bench.run(2_500, dispatcher);
  assert.deepInclude(fieldsOf(bench, 'run_restarted'), {
    task: 'j.0.0.0',
    run: 100_002,
    token: 1_000,
    grounds: 'run_over',
    earlier_run: 100_001,
    earlier_worker: lost.report.id,
    earlier_how: 'lost',
    earlier_cause: 'lease_expired',
  });
  const ended = fieldsOf(bench, 'run_ended');
  assert.isAtMost(ended['lease_left_ms'] as number, 1_000);
  assert.isAbove(ended['clock_age_ms'] as number, 0);
  assert.isTrue(ended['is_confirmed']);
});

test('a start after a change of dispatcher tells on which grounds', async () => {
  const bench = new PoolBench(2);
  const dispatcher = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  const settle = {settleMs: 1_800, earlierToken: 1_000};
  dispatcher.submit('e', {...resubmission('j'), ...settle});
  dispatcher.submit('e', resubmission('k'));
  await bench.run(200, dispatcher);
  const grounds = bench.jobEvents
    .filter(e => e.event === 'run_restarted')
    .map(e => [e.job, e.fields['grounds']]);
  assert.sameDeepMembers(grounds, [
    ['j', 'settled_by_token'],
    ['k', 'dispatcher_changed'],
  ]);
  assert.deepInclude(fieldsOf(bench, 'job_settled'), {
    grounds: 'settled_by_token',
    token: 2_000,
    accepted_token: 2_000,
    earlier_token: 1_000,
    earlier_node: 'c1',
    workers: 2,
    zones: ['z'],
  });
  assert.include(bench.events, 'starts_allowed');
});

test('an adopted run is named with its number and its end', async () => {
  const bench = new PoolBench(1);
  for (const worker of bench.workers.values()) worker.runMs = () => 400;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 400}));
  await bench.run(50, first);
  first.close();
  assert.deepInclude(fieldsOf(bench, 'job_left'), {token: 1_000, count: 1});
  const second = bench.createDispatcher({term: 2});
  second.submit('e', PoolBench.submission('j', {estimatedMs: 400}));
  await bench.run(600, second);
  const adopted = fieldsOf(bench, 'run_adopted');
  assert.deepInclude(adopted, {run: 100_001, worker: 'w0', token: 2_000});
  const ended = fieldsOf(bench, 'run_ended');
  assert.deepInclude(ended, {run: 100_001, how: 'done', is_adopted: true});
});

test('the end of an earlier run that counts is named', async () => {
  const bench = new PoolBench(1);
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j'));
  await bench.run(20, first);
  first.close();
  await bench.run(200);
  const second = bench.createDispatcher({term: 2});
  await bench.run(30, second);
  second.submit('e', PoolBench.submission('j'));
  await bench.run(500, second);
  const ended = fieldsOf(bench, 'run_end_adopted');
  assert.deepEqual(ended, {task: 'j.0.0.0', token: 2_000});
});

test('a run that no job claims is named', async () => {
  const bench = new PoolBench(1);
  for (const worker of bench.workers.values()) worker.runMs = () => 60_000;
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('j', {estimatedMs: 60_000}));
  await bench.run(50, first);
  first.close();
  const second = bench.createDispatcher({term: 2});
  await bench.run(1_500, second);
  const unclaimed = fieldsOf(bench, 'run_unclaimed');
  assert.deepInclude(unclaimed, {run: 100_001, worker: 'w0', token: 2_000});
});

test('a start order without a reply is named', async () => {
  const bench = new PoolBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  bench.client.faultOf = call => (call === 'start' ? 'order_lost' : 'ok');
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(250, dispatcher);
  bench.client.faultOf = () => 'ok';
  await bench.run(1_500, dispatcher);
  const unanswered = fieldsOf(bench, 'start_unanswered');
  assert.deepInclude(unanswered, {run: 100_001, worker: 'w0'});
  assert.isTrue(fieldsOf(bench, 'start_refused')['is_unanswered']);
  const restarted = fieldsOf(bench, 'run_restarted');
  assert.equal(restarted['earlier_run'], 100_001);
});

// A worker that is missing in the registry of a new dispatcher may still run a
// task that the dispatcher has started elsewhere.
test('a run of a worker that was not known is reported when it appears', async () => {
  const bench = new PoolBench(1);
  for (const worker of bench.workers.values()) worker.runMs = () => 900;
  const dispatcher = bench.createDispatcher({term: 2, earlierLeasesMs: 0});
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 900}));
  await bench.run(50, dispatcher);
  const late = bench.addWorker('late');
  late.runMs = () => 900;
  const lease = {token: 1_000, leaseEnd: late.clockMs + 900};
  late.start({task: 'j.0.0.0', run: 100_001, ...lease});
  await bench.run(100, dispatcher);
  assert.deepInclude(fieldsOf(bench, 'run_resurfaced'), {
    run: 100_001,
    worker: 'late',
    current_run: 200_001,
    current_worker: 'w0',
  });
});

// Its caller may have sent it again over another connection.
test('a job that two entry nodes hold is named with its runs', async () => {
  const bench = new PoolBench(1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j'));
  await bench.run(20, dispatcher);
  dispatcher.recordUnclear('j', 'e');
  assert.notInclude(
    bench.jobEvents.map(e => e.event),
    'job_held_twice',
  );
  dispatcher.recordUnclear('j', 'other');
  const held = fieldsOf(bench, 'job_held_twice');
  assert.deepInclude(held, {owner: 'e', other: 'other', count: 1});
});
