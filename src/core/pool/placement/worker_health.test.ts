import {assert} from 'chai';
import {poolTaskOf} from '../../../../test-support/fakes/pool/pool_task_of.js';
import {SILENT_OBSERVER} from '../../../../test-support/fakes/pool/silent_observer.js';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import {Run} from '../lease/run.js';
import {WorkerHealth} from './worker_health.js';

function record(
  health: WorkerHealth,
  worker: LeasedWorker,
  ...failures: ReadonlyArray<0 | 1>
): void {
  for (const failure of failures) {
    health.recordEnd(worker.report, failure === 1, 0);
  }
}

/** Runs that the worker is given at once. */
function startsOn(health: WorkerHealth, worker: LeasedWorker, now: number) {
  const {demand} = poolTaskOf('j').job.spec.steps[0]!;
  let starts = 0;
  while (worker.freeCapacity.cpu >= demand.cpu && health.allows(worker, now)) {
    starts += 1;
    worker.start(new Run(`t${starts}`, 1, demand, now), '');
  }
  (worker.runs as Map<string, Run>).clear();
  return starts;
}

function createWorker(id = 'w', zone = 'z'): LeasedWorker {
  const capacity = {cpu: 32_000, memoryMb: 64_000, accelerators: 0};
  return usableWorker(id, {capacity, zone});
}

// Guards against one threshold, between full load and none.
test('a failing worker loses load in steps and regains it in steps', () => {
  const health = new WorkerHealth(SILENT_OBSERVER);
  const worker = createWorker();
  const loads = [startsOn(health, worker, 0)];
  for (let n = 0; n < 3; n += 1) {
    record(health, worker, 1);
    loads.push(startsOn(health, worker, 0));
  }
  assert.deepEqual(loads, [4, 4, 1, 0]);
  assert.equal(startsOn(health, worker, 3_000), 1);
  const regained = [];
  for (let n = 0; n < 3; n += 1) {
    record(health, worker, 0, 0, 0);
    regained.push(startsOn(health, worker, 3_000));
  }
  assert.deepEqual(regained, [1, 2, 4]);
});

// Guards against a flapping worker that has its full load after one success.
test('a worker that fails every other run does not regain its load', () => {
  const health = new WorkerHealth(SILENT_OBSERVER);
  const worker = createWorker();
  record(health, worker, 1, 1, 1, 0, 1, 0, 1, 0, 1, 0);
  assert.equal(startsOn(health, worker, 0), 0);
});

// If all workers of a zone are given up together, its load falls on others that
// have no room for it.
test('workers of a zone that fail together keep half of their load', () => {
  const health = new WorkerHealth(SILENT_OBSERVER);
  const zone = ['a', 'b', 'c', 'd'].map(id => createWorker(id));
  const other = createWorker('x', 'y');
  for (const worker of [...zone, other]) record(health, worker, 1, 1, 1);
  assert.deepEqual(
    zone.map(worker => startsOn(health, worker, 0)),
    [2, 2, 2, 2],
  );
  assert.equal(startsOn(health, other, 0), 0);
  for (const worker of zone.slice(1)) health.remove(worker.report.id);
  assert.equal(startsOn(health, zone[0]!, 0), 0);
});
