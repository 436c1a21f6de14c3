import {assert} from 'chai';
import {poolTaskOf} from '../../../../test-support/fakes/pool/pool_task_of.js';
import {SILENT_OBSERVER} from '../../../../test-support/fakes/pool/silent_observer.js';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import {Run} from '../lease/run.js';
import {RunTimes} from './run_times.js';
import {TaskPlacement} from './task_placement.js';
import {WorkerHealth} from './worker_health.js';

function createPlacement(): TaskPlacement {
  return new TaskPlacement({
    times: new RunTimes(),
    health: new WorkerHealth(SILENT_OBSERVER),
    remoteFactor: 2,
  });
}

// Guards against a factor fixed in the code: where a remote task takes three
// times as long, a local worker of 0.4 of the speed is still the better one.
test('the remote factor decides between a slow local and a fast remote worker', () => {
  const local = usableWorker('local', {labels: ['r1']});
  const remote = usableWorker('remote', {labels: ['r2']});
  const times = new RunTimes();
  for (let n = 0; n < 400; n += 1) {
    const workload = {queue: 'a', estimatedMs: 100, distanceFactor: 1};
    const run = {task: `t${n}`, workload, at: n};
    times.record({...run, worker: 'remote', ranMs: 100});
    if (n % 8 === 0) times.record({...run, worker: 'local', ranMs: 250});
  }
  const chosenWith = (remoteFactor: number) => {
    const placement = new TaskPlacement({
      times,
      health: new WorkerHealth(SILENT_OBSERVER),
      remoteFactor,
    });
    let chosen = '';
    const task = poolTaskOf('j', {dataRack: 'r1'}, 500);
    placement.begin([remote, local], 500);
    placement.place(task, worker => (chosen = worker.report.id));
    return chosen;
  };
  assert.equal(chosenWith(2), 'remote');
  assert.equal(chosenWith(3), 'local');
});

// Guards against a start that scans the fleet: with 1,000 workers, most of which
// are full, only those with room are examined.
test('a start examines the workers with room, not all', () => {
  const examinedOf = (size: number) => {
    const workers = Array.from({length: size}, (_, n) => {
      const cpu = n < 10 ? 16_000 : 4_000;
      const capacity = {cpu, memoryMb: 64_000, accelerators: 0};
      return usableWorker(`w${n}`, {capacity});
    });
    const placement = createPlacement();
    placement.begin(workers, 0);
    for (let n = 0; n < 10; n += 1) {
      assert.isTrue(placement.place(poolTaskOf(`j${n}`), () => undefined));
    }
    return placement.examined;
  };
  assert.equal(examinedOf(1_000), examinedOf(300));
  assert.isAtMost(examinedOf(1_000), 100);
});

// A task of 12 cores finds no room if tasks of 8 cores take one half of each.
test('a task goes where it leaves the most useful room', () => {
  const workers = ['a', 'b', 'c'].map(id => usableWorker(id));
  const placement = createPlacement();
  placement.begin(workers, 0);
  const place = (id: string) => {
    let chosen = '';
    const task = poolTaskOf(id);
    const {demand} = task.job.spec.steps[0]!;
    placement.place(task, worker => {
      chosen = worker.report.id;
      worker.start(new Run(id, 1, demand, 0), '');
    });
    return chosen;
  };
  placement.place(
    poolTaskOf('wide', {demand: {cpu: 12_000, memoryMb: 1, accelerators: 0}}),
    () => undefined,
  );
  const first = place('j1');
  assert.equal(place('j2'), first);
  assert.notEqual(place('j3'), first);
});

// Guards against a start that is of no use: the forecast refuses the job, since
// the only free worker is slow by eight.
test('a job that would be useless from a slow worker is not started there', () => {
  const times = new RunTimes();
  const workload = {queue: 'a', estimatedMs: 100, distanceFactor: 1};
  for (let n = 0; n < 400; n += 1) {
    const run = {task: `t${n}`, workload, at: n};
    times.record({...run, worker: 'normal', ranMs: 100});
    if (n % 8 === 0) times.record({...run, worker: 'slow', ranMs: 800});
  }
  const health = new WorkerHealth(SILENT_OBSERVER);
  const placement = new TaskPlacement({times, health, remoteFactor: 2});
  const task = poolTaskOf('j', {}, 500);
  const place = () => {
    placement.begin([usableWorker('slow')], 500);
    return placement.place(task, () => undefined);
  };
  assert.isFalse(place());
  task.job.hasStarted = true;
  assert.isTrue(place());
});
