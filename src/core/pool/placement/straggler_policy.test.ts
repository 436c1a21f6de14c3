import {assert} from 'chai';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import {Run} from '../lease/run.js';
import {RunTimes} from './run_times.js';
import {StragglerPolicy} from './straggler_policy.js';

const WORKLOAD = {queue: 'a', estimatedMs: 900, distanceFactor: 1};
const SHORT = {...WORKLOAD, estimatedMs: 60};
/** Added to the limit of each run. */
const MIN_LIMIT_MS = 150;
const DEMAND = {cpu: 8_000, memoryMb: 1, accelerators: 0};

/** One task in thirty takes seven times as long, as at the second deployment. */
function createBench() {
  const times = new RunTimes();
  for (let n = 1; n <= 1_200; n += 1) {
    const ranMs = n % 30 === 0 ? 420 : 60;
    const run = {task: `t${n}`, workload: SHORT, ranMs, at: n};
    times.record({...run, worker: `w${n % 7}`});
  }
  const worker = usableWorker('w0');
  const run = new Run('x', 1, DEMAND, 1_200);
  run.workload = WORKLOAD;
  worker.start(run, '');
  /** Lets runs beside `x` end on the worker with these ratios. */
  const end = (...ratios: readonly number[]) => {
    for (const [n, ratio] of ratios.entries()) {
      const ranMs = 60 * ratio;
      const ended = {task: `y${n}`, workload: SHORT, ranMs, at: 1_300 + n};
      times.record({...ended, worker: 'w0'});
    }
  };
  return {times, worker, run, end, policy: new StragglerPolicy(times)};
}

// A wrong stop of a task that takes seven times as long loses its job.
test('a long task on a healthy worker is left alone', () => {
  const {times, worker, run, end, policy} = createBench();
  end(1, 1, 1, 1, 1);
  for (let now = 1_400; now < 1_200 + 7 * 900; now += 60) {
    times.observe([worker], now);
    assert.isFalse(policy.isOnSlowWorker(run, 'w0', now));
    assert.isFalse(policy.isEndless(run, 'w0', 0, now));
  }
});

test('two long tasks on one worker do not prove that it is slow', () => {
  const {times, worker, run, end, policy} = createBench();
  end(1, 1, 7);
  times.observe([worker], 4_000);
  assert.isFalse(policy.isOnSlowWorker(run, 'w0', 4_000));
});

// Guards against waiting 4.5 s for a run of 900 ms on a worker that has become
// slow by a factor of five.
test('a run on a worker that is slow by other runs is worth moving early', () => {
  const {run, end, policy} = createBench();
  end(5, 5, 5, 5);
  assert.isTrue(policy.isOnSlowWorker(run, 'w0', 1_600));
  assert.isTrue(policy.isWorthMoving(run, 'w0', 1, 1_600));
});

test('a run that ends soon, or that would be slow elsewhere too, is not moved', () => {
  const {run, end, policy} = createBench();
  end(5, 5, 5, 5);
  assert.isFalse(policy.isWorthMoving(run, 'w0', 1, 1_200 + 4_400));
  assert.isFalse(policy.isWorthMoving(run, 'w0', 4, 1_600));
});

test('a run that never ends is stopped, later on a slow worker and after a stop', () => {
  const {run, end, policy} = createBench();
  run.workload = SHORT;
  const limitMs = MIN_LIMIT_MS + 3 * 7.5 * 60;
  const at = (ms: number) => 1_200 + ms;
  assert.isTrue(policy.isEndless(run, 'w0', 0, at(1.2 * limitMs)));
  assert.isFalse(policy.isEndless(run, 'w0', 1, at(1.2 * limitMs)));
  end(5, 5, 5, 5);
  assert.isFalse(policy.isEndless(run, 'w0', 0, at(1.2 * limitMs)));
});

// Its limit was a multiple of the missing estimate, so that each run was stopped
// after 150 ms, until the task had used up its starts.
test('a task without an estimate is not stopped at once as endless', () => {
  const {times, run, policy} = createBench();
  run.workload = {...SHORT, estimatedMs: 0};
  assert.isFalse(policy.isEndless(run, 'w0', 0, 2_200));
  for (let n = 0; n < 100; n += 1) {
    const ended = {task: `z${n}`, workload: run.workload, ranMs: 800};
    times.record({...ended, worker: `w${n % 7}`, at: 1_200 + n});
  }
  assert.isFalse(policy.isEndless(run, 'w0', 0, 1_200 + 2_000));
  assert.isTrue(policy.isEndless(run, 'w0', 0, 1_200 + 9_000));
  assert.isFalse(policy.isWorthMoving(run, 'w0', 1, 1_200 + 400));
});
