import {assert} from 'chai';
import {poolTaskOf} from '../../../../test-support/fakes/pool/pool_task_of.js';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import {RunTimes} from './run_times.js';
import {StartCandidates} from './start_candidates.js';
import {WorkerCircuitBreaker} from './worker_circuit_breaker.js';

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
    const candidates = new StartCandidates({
      workers: [remote, local],
      times,
      breaker: new WorkerCircuitBreaker(),
      now: 500,
      remoteFactor,
    });
    let chosen = '';
    const task = poolTaskOf('j', {dataRack: 'r1'}, 500);
    candidates.place(task, worker => (chosen = worker.report.id));
    return chosen;
  };
  assert.equal(chosenWith(2), 'remote');
  assert.equal(chosenWith(3), 'local');
});
