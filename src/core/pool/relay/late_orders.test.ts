import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

/** Fewer workers in a zone than a dispatcher of its own needs: the leader relays. */
const WORKERS_PER_ZONE = 24;
const JOB = {tasks: 72, estimatedMs: 6_000, patienceMs: 20_000};
/** Workers of zone `y` that restart; the tasks that they lose run elsewhere. */
const RESTARTED = 8;
const HELD_UP_MS = 4_000;

/** A deployment whose leader relays to the workers of zone `y`. */
async function createBench(): Promise<DeploymentBench> {
  const bench = new DeploymentBench({
    coresPerZone: 1,
    workersPerZone: WORKERS_PER_ZONE,
  });
  for (const worker of bench.workers.values()) {
    // The time alone must suffice.
    worker.refusesOthers = false;
    worker.runMs = task => (task.startsWith('j') ? JOB.estimatedMs : 50);
  }
  await bench.run(6_000);
  assert.isEmpty(bench.holders());
  assert.notEqual(bench.leader, 'yc1');
  return bench;
}

/** Submits a job, and restarts workers of zone `y` while orders are held up. */
async function submitAndRestart(
  bench: DeploymentBench,
  restartAfterMs = 1_500,
) {
  const entry = bench.leader === 'xc1' ? 'ze1' : 'xe1';
  bench.submit(entry, 'j', JOB);
  await bench.run(restartAfterMs);
  for (let n = 1; n <= RESTARTED; n += 1) {
    bench.workers.get(`yw${n}`)!.restart();
  }
}

// Guards against start orders that stay in the socket of a suspended relay: once the
// worker has restarted, it knows neither the stop nor the clock of the order.
test('orders of a relay that was suspended start nothing', async () => {
  for (const isCounted of [true, false]) {
    for (const restartAfterMs of [300, 1_500, 3_000]) {
      const bench = await createBench();
      bench.suspend('yc1', isCounted);
      await submitAndRestart(bench, restartAfterMs);
      await bench.run(HELD_UP_MS - restartAfterMs);
      bench.resume('yc1');
      await bench.run(2_000);
      const name = `${isCounted ? 'process' : 'machine'}, ${restartAfterMs} ms`;
      assert.isEmpty(bench.log.overlaps(), name);
      assert.isAbove(bench.log.count('order_expired'), 0, name);
    }
  }
});

// The same through the entry nodes, which relay where a zone has no core node.
test('orders of an entry node that was suspended start nothing', async () => {
  for (const isCounted of [true, false]) {
    const bench = await createBench();
    bench.kill('yc1');
    await bench.run(4_000);
    for (const id of ['ye1', 'ye2']) bench.suspend(id, isCounted);
    await submitAndRestart(bench);
    await bench.run(HELD_UP_MS - 1_500);
    for (const id of ['ye1', 'ye2']) bench.resume(id);
    await bench.run(2_000);
    assert.isEmpty(bench.log.overlaps(), `counted: ${isCounted}`);
    assert.isAbove(bench.log.count('order_expired'), 0);
  }
});

// Guards against the same without a suspension: the link to the relay, or its event
// loop, is slow for a while, but not cut.
test('orders that were held up on the link to a relay start nothing', async () => {
  const bench = await createBench();
  bench.backlogMs.set('yc1', HELD_UP_MS);
  await submitAndRestart(bench);
  bench.backlogMs.clear();
  await bench.run(HELD_UP_MS + 1_000);
  assert.isEmpty(bench.log.overlaps());
  assert.isAbove(bench.log.count('order_expired'), 0);
});
