import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {recordedTelemetry} from '../../../../test-support/fakes/pool/recorded_telemetry.js';
import {FailsafeWorkerClient} from './failsafe_worker_client.js';
import type {WorkerClient} from './worker_client.js';

const target = {id: 'w0', address: '127.0.0.1:99999'};
const fail = () => {
  throw new TypeError('Invalid URL');
};

/** Client that throws for one worker, half of the time before it returns. */
function clientFailingFor(id: string, bench: PoolBench): WorkerClient {
  const {client} = bench;
  const call = <R>(to: {id: string}, send: () => Promise<R>): Promise<R> => {
    if (to.id !== id) return send();
    return client.calls.length % 2 === 0 ? fail() : Promise.reject(Error('x'));
  };
  return Object.assign(Object.create(client) as WorkerClient, {
    start: (...args: Parameters<WorkerClient['start']>) =>
      call(args[0], () => client.start(...args)),
    stop: (...args: Parameters<WorkerClient['stop']>) =>
      call(args[0], () => client.stop(...args)),
    poll: (...args: Parameters<WorkerClient['poll']>) =>
      call(args[0], () => client.poll(...args)),
  });
}

// Guards against a process that ends because a call to one worker throws.
test('a call that throws is a lost call, and is logged', async () => {
  const {telemetry, lines} = recordedTelemetry();
  const throwing = {start: fail, stop: fail, poll: fail, release: fail};
  const client = new FailsafeWorkerClient(throwing, telemetry);
  const order = {task: 't', run: 1, token: 1};
  const detail = 'TypeError: Invalid URL';
  const lost = {kind: 'lost' as const, detail};
  const poll = {token: 1, acknowledged: 0, waitMs: 0};
  const start = {...order, payload: '', leaseEnd: 1};
  assert.deepEqual(await client.start(target, start, 1), lost);
  assert.deepEqual(await client.stop(target, order, 1), lost);
  assert.deepEqual(await client.poll(target, poll, 1), lost);
  client.release(target.address);
  const failures = lines().filter(l => l['message'] === 'order_failed');
  assert.lengthOf(failures, 4);
  assert.include(failures[0], {worker: 'w0', detail});
});

test('a worker whose calls throw takes no jobs from the others', async () => {
  const {telemetry} = recordedTelemetry();
  const bench = new PoolBench(2);
  const client = new FailsafeWorkerClient(
    clientFailingFor('w0', bench),
    telemetry,
  );
  const dispatcher = bench.createDispatcher({client, earlierLeasesMs: 0});
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {tasks: 4}));
  await bench.run(1_000, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});
