import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import type {FakePoolWorker} from '../../../../test-support/fakes/pool/fake_pool_worker.js';
import {StartProof} from './start_proof.js';

/** A job of no more use, which is refused once the workers have replied. */
function lateJob(id: string) {
  return {...PoolBench.submission(id), waitedMs: 2_000};
}

/** A job of an unknown configuration, which is refused immediately. */
function refusedJob(id: string) {
  return {...PoolBench.submission(id), revision: 99};
}

/** A bench whose first dispatcher has started and ended the job `ran`. */
async function createBench(workers = 2) {
  const bench = new PoolBench(workers);
  const first = bench.createDispatcher({term: 1});
  await bench.run(50, first);
  first.submit('e', PoolBench.submission('ran'));
  await bench.run(300, first);
  assert.equal(bench.answers.get('ran')?.kind, 'completed');
  const takeOver = () => {
    first.close();
    return bench.createDispatcher({term: 2});
  };
  return {bench, first, takeOver};
}

test('a successor refuses a job that has not started with a proof', async () => {
  const {bench, takeOver} = await createBench();
  const second = takeOver();
  second.submit('e', lateJob('fresh'));
  await bench.run(100, second);
  assert.deepInclude(bench.answers.get('fresh'), {
    kind: 'refused',
    isProved: true,
  });
});

test('a successor starts a job that has not started and can be on time', async () => {
  const {bench, first, takeOver} = await createBench();
  bench.client.faultOf = call => (call === 'start' ? 'order_lost' : 'ok');
  first.submit('e', PoolBench.submission('j'));
  await bench.run(20, first);
  bench.client.faultOf = () => 'ok';
  const second = takeOver();
  second.submit('e', {...PoolBench.submission('j'), waitedMs: 20});
  await bench.run(200, second);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});

// The caller's connection broke after the job had run. It sends the job again to
// another entry node, and the dispatcher has changed.
test('a job that ended under the predecessor is not refused', async () => {
  for (const pauseMs of [0, 700, 1_500, 5_000]) {
    const {bench, first, takeOver} = await createBench();
    await bench.run(pauseMs, first);
    const second = takeOver();
    await bench.run(100, second);
    second.submit('e2', refusedJob('ran'));
    await bench.run(100, second);
    assert.equal(bench.answers.get('ran')?.kind, 'given_up', `${pauseMs}`);
  }
});

// The end is in no message of the predecessor, so only the list has it.
test('a run that ended after the predecessor is found', async () => {
  for (const how of ['done', 'stopped', 'failed', 'lapsed'] as const) {
    const {bench, first, takeOver} = await createBench(1);
    const [worker] = bench.workers.values();
    worker!.runMs = () => 30;
    worker!.endOf = () => how;
    first.submit('e', PoolBench.submission('last'));
    await bench.run(15, first);
    first.close();
    await bench.run(50);
    const second = takeOver();
    await bench.run(100, second);
    second.submit('e', refusedJob('last'));
    assert.equal(bench.answers.get('last')?.kind, 'given_up', how);
  }
});

// Workers list up to 500 ends at once; the others may be of any job.
test('a list that is not complete proves nothing', async () => {
  const {bench, takeOver} = await createBench(1);
  const {poll} = bench.client;
  bench.client.poll = async (...args) => {
    const reply = await poll(...args);
    if (reply.kind !== 'ok') return reply;
    return {...reply, look: {...reply.look, isPartial: true}};
  };
  const second = takeOver();
  await bench.run(600, second);
  second.submit('e', refusedJob('fresh'));
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

test('a worker that has left before it replied ends the proof', () => {
  const proof = new StartProof({
    startedAt: 0,
    lastOrderAt: 0,
    workers: [POOL_WORKER_REPORT],
    recordCompleteUntil: 1_000,
    onDecided: () => undefined,
  });
  proof.update([], 20);
  assert.isFalse(proof.isOpen);
  assert.isFalse(proof.isProved);
});

// The nodes that may dispatch next must know a worker before it runs anything.
test('a worker that joins later is not used for 1 s', async () => {
  const bench = new PoolBench(0);
  const dispatcher = bench.createDispatcher();
  await bench.run(4_100, dispatcher);
  const worker = bench.addWorker('w0');
  await bench.run(100, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 2_000}));
  await bench.run(800, dispatcher);
  assert.equal(worker.running.size, 0);
  await bench.run(200, dispatcher);
  assert.equal(worker.running.size, 1);
});

test('a job that runs unclaimed is not refused when it is sent again', async () => {
  const {bench, first, takeOver} = await createBench(1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 5_000;
  first.submit('e', PoolBench.submission('long', {estimatedMs: 5_000}));
  await bench.run(50, first);
  const second = takeOver();
  await bench.run(2_500, second);
  assert.equal(worker!.running.size, 0);
  second.submit('e2', refusedJob('long'));
  await bench.run(100, second);
  assert.equal(bench.answers.get('long')?.kind, 'given_up');
});

// It may have run there until its lease expired.
test('without the reply of a worker, a job is not refused as not run', async () => {
  const {bench, first, takeOver} = await createBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 300;
  first.submit('e', PoolBench.submission('j', {tasks: 4}));
  await bench.run(20, first);
  bench.client.faultOf = (_call, id) => (id === 'w0' ? 'order_lost' : 'ok');
  const second = takeOver();
  second.submit('e', lateJob('fresh'));
  await bench.run(300, second);
  assert.isUndefined(bench.answers.get('fresh'), 'the proof is still open');
  await bench.run(300, second);
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

test('a restarted worker proves nothing about the runs before', async () => {
  const {bench, takeOver} = await createBench();
  const {report} = bench.workers.get('w0')!;
  const second = takeOver();
  const restarted = bench.workers.get('w0')!;
  restarted.report = {...report, bornAt: 99};
  second.submit('e', lateJob('fresh'));
  await bench.run(500, second);
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

// It lists nothing, so a process start time that it does not state is no proof.
test('a worker whose process start time is unknown proves nothing', async () => {
  const bench = new PoolBench(0);
  bench.addWorker('w0', 2, 0);
  const second = bench.createDispatcher({term: 2});
  second.submit('e', lateJob('fresh'));
  await bench.run(500, second);
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

test('a worker that the successor did not know ends the proof', async () => {
  const {bench, takeOver} = await createBench();
  const second = takeOver();
  await bench.run(100, second);
  second.submit('e', refusedJob('before'));
  await bench.run(100, second);
  assert.equal(bench.answers.get('before')?.kind, 'refused');
  bench.addWorker('late');
  await bench.run(100, second);
  second.submit('e', refusedJob('after'));
  await bench.run(100, second);
  assert.equal(bench.answers.get('after')?.kind, 'given_up');
});

test('with an incomplete list of workers, nothing is proved', async () => {
  const {bench, first} = await createBench();
  first.close();
  const second = bench.createDispatcher({term: 2, isRegistryComplete: false});
  second.submit('e', lateJob('fresh'));
  await bench.run(500, second);
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

// The predecessor may have acknowledged ends that are in no message received.
test('with an old record of the predecessor, nothing is proved', async () => {
  const {bench, first, takeOver} = await createBench();
  first.close();
  await bench.run(1_000);
  const second = takeOver();
  second.submit('e', lateJob('fresh'));
  await bench.run(500, second);
  assert.equal(bench.answers.get('fresh')?.kind, 'given_up');
});

test('after the time for resubmissions, a refusal needs no proof', async () => {
  const bench = new PoolBench(1);
  const predecessor = {
    startedJobs: [],
    recordCompleteUntil: Number.NEGATIVE_INFINITY,
  };
  const dispatcher = bench.createDispatcher({predecessor});
  await bench.run(2_900, dispatcher);
  dispatcher.submit('e', refusedJob('a'));
  await bench.run(150, dispatcher);
  dispatcher.submit('e', refusedJob('b'));
  await bench.run(50, dispatcher);
  assert.equal(bench.answers.get('a')?.kind, 'given_up');
  assert.deepInclude(bench.answers.get('b'), {
    kind: 'refused',
    isProved: false,
  });
});

// The fallback may have run a job and answered it; the leader knows nothing.
test('a leader that has raised its token proves nothing', async () => {
  const bench = new PoolBench(1);
  const leader = bench.createDispatcher({term: 1});
  await bench.run(6_000, leader);
  leader.raiseToken(1_500);
  leader.submit('e', refusedJob('a'));
  await bench.run(100, leader);
  assert.equal(bench.answers.get('a')?.kind, 'given_up');
  await bench.run(3_500, leader);
  leader.submit('e', refusedJob('b'));
  await bench.run(100, leader);
  assert.deepInclude(bench.answers.get('b'), {isProved: false});
});

// The workers refuse what a suspended predecessor or a slow link sends late, so
// a refusal stays true after it was given.
test('no order of the predecessor is carried out after the proof', async () => {
  const {bench, first} = await createBench(1);
  const [worker] = bench.workers.values();
  const second = bench.createDispatcher({term: 2});
  second.submit('e', lateJob('fresh'));
  await bench.run(100, second);
  assert.deepInclude(bench.answers.get('fresh'), {isProved: true});
  // The predecessor does not know that it was replaced and still has the job.
  first.submit('e', PoolBench.submission('fresh'));
  await bench.run(500, first, second);
  assert.isFalse(hasRun(worker!, 'fresh'));
});

test('a start order that arrives after the proof starts nothing', async () => {
  const {bench, takeOver} = await createBench(1);
  const [worker] = bench.workers.values();
  const second = takeOver();
  second.submit('e', lateJob('fresh'));
  await bench.run(100, second);
  assert.deepInclude(bench.answers.get('fresh'), {isProved: true});
  const order = {run: 1, token: 1_000, leaseEnd: worker!.clockMs + 500};
  assert.equal(worker!.start({...order, task: 'fresh.0.0.0'}), 'fenced');
  assert.isFalse(hasRun(worker!, 'fresh'));
});

function hasRun(worker: FakePoolWorker, job: string): boolean {
  const tasks = [...worker.running.keys(), ...worker.history.map(h => h.task)];
  return tasks.some(task => task.startsWith(`${job}.`));
}
