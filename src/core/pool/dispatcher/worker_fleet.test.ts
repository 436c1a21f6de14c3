import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';

const FOREIGN = 'w-foreign';

function createBench(): PoolBench {
  const bench = new PoolBench(1);
  bench.service = 'another';
  bench.addWorker(FOREIGN);
  return bench;
}

function callsOf(bench: PoolBench, worker: string): number {
  return bench.client.calls.filter(c => c.worker === worker).length;
}

// Guards against orders to processes that do not belong to the deployment, whose
// work they would stop as unclaimed.
test('workers of a service that the configuration does not name get no calls', async () => {
  const bench = createBench();
  const task = {task: 't', run: 1, token: 0, payload: '', leaseEnd: 1e9};
  bench.workers.get(FOREIGN)!.start(task);
  const dispatcher = bench.createDispatcher();
  await bench.run(3_000, dispatcher);
  assert.equal(callsOf(bench, FOREIGN), 0);
  assert.isAbove(callsOf(bench, 'w0'), 0);
});

test('workers join as soon as the configuration names their service', async () => {
  const bench = createBench();
  const dispatcher = bench.createDispatcher();
  await bench.run(100, dispatcher);
  bench.services = ['svc', 'another'];
  await bench.run(30, dispatcher);
  assert.isAbove(callsOf(bench, FOREIGN), 0);
});

// Guards against jobs that lose their workers because a change of the
// configuration removes the service while they run.
test('a job ends although its service was removed', async () => {
  const bench = new PoolBench(1, 1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 3}));
  await bench.run(50, dispatcher);
  bench.services = [];
  await bench.run(1_000, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});
