import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {ActiveJob} from '../job/active_job.js';
import {Run} from '../lease/run.js';
import {RunTimes} from './run_times.js';

// A job of three steps in a row was expected to take as long as its longest
// task, so it was let in although it could not be on time.
test('the remaining time of a job follows the order of its steps', () => {
  const submission = PoolBench.submission('j', {estimatedMs: 100});
  const [step] = submission.job.steps;
  const steps = [step!, {...step!, after: [0]}, {...step!, after: [1]}];
  const queue = PoolBench.table().find('h', '/a/j')!;
  const job = new ActiveJob(
    {...submission, job: {...submission.job, steps}},
    {owner: 'e', queue, token: 1, now: 0},
  );
  const times = new RunTimes();
  assert.equal(times.remainingMs(job), 300);
  job.tasks[0]!.state = 'done';
  assert.equal(times.remainingMs(job), 200);
});

const WORKLOAD = {queue: 'a', estimatedMs: 100, distanceFactor: 1};

/** Run times after normal runs on ten workers, of which one in `every` is long. */
function timesAfterRuns(every = Number.POSITIVE_INFINITY): RunTimes {
  const times = new RunTimes();
  for (let n = 1; n <= 600; n += 1) {
    const ranMs = n % every === 0 ? 700 : 100;
    const worker = `w${n % 10}`;
    times.record({worker, task: `t${n}`, workload: WORKLOAD, ranMs, at: n});
  }
  return times;
}

// Guards against a run beside no data that makes its worker look slow, and its
// tasks long.
test('the run time of a remote run is divided by its slowdown', () => {
  const times = timesAfterRuns();
  const workload = {...WORKLOAD, distanceFactor: 3};
  for (let n = 0; n < 20; n += 1) {
    times.record({worker: 'w1', task: `r${n}`, workload, ranMs: 300, at: 700});
  }
  assert.approximately(times.slownessOf('w1', 700), 1, 0.1);
  assert.approximately(times.expectedMs('a', 100), 100, 10);
});

// Guards against a slow worker that makes all tasks look long: the forecast
// then refuses jobs that healthy workers could serve.
test('runs on slow workers do not raise the expected time elsewhere', () => {
  const times = timesAfterRuns();
  for (let n = 0; n < 100; n += 1) {
    const run = {workload: WORKLOAD, ranMs: 500, at: 700 + n};
    times.record({...run, worker: `w${n % 2}`, task: `s${n}`});
  }
  assert.approximately(times.slownessOf('w0', 800), 5, 0.5);
  assert.approximately(times.expectedMs('a', 100), 100, 10);
});

test('the expected end of a run takes speed and long tasks into account', () => {
  const end = (times: RunTimes, ageMs: number, slowness: number) => {
    const run = new Run('x', 1, {cpu: 1, memoryMb: 1, accelerators: 0}, 0);
    run.workload = WORKLOAD;
    return times.expectedEnd(run, 'w1', ageMs, slowness);
  };
  assert.approximately(end(timesAfterRuns(), 50, 1), 100, 10);
  assert.approximately(end(timesAfterRuns(), 50, 5), 500, 50);
  assert.approximately(end(timesAfterRuns(30), 200, 1), 700, 50);
});

const BARE = {queue: 'a', estimatedMs: 0, distanceFactor: 1};

// Guards against a missing estimate that is taken as 1 ms: it made all tasks look
// long, and the workers of such tasks slow.
test('runs without an estimate do not move the ratio of the others', () => {
  const times = new RunTimes();
  for (let n = 1; n <= 210; n += 1) {
    const workload = n % 21 === 0 ? BARE : WORKLOAD;
    const ranMs = workload === BARE ? 4_000 : 100;
    times.record({worker: 'w', task: `t${n}`, workload, ranMs, at: n * 10});
  }
  assert.approximately(times.expectedMs('a', 100), 100, 10);
  assert.approximately(times.slownessOf('w', 2_100), 1, 0.1);
});

// Guards against a first run that is counted with the square of its ratio: it was
// measured by the assumed ratio and scaled by the one that it had itself set.
test('the first runs of a queue count with the ratio that they had', () => {
  const times = new RunTimes();
  for (let n = 0; n < 10; n += 1) {
    const ranMs = n === 0 ? 4_000 : 2_000;
    const run = {worker: `w${n % 2}`, task: `t${n}`, workload: BARE, ranMs};
    times.record({...run, at: n * 10});
    times.record({...run, workload: WORKLOAD, at: n * 10});
  }
  assert.approximately(times.expectedMs('a', 100), 2_400, 400);
  const run = new Run('x', 1, {cpu: 1, memoryMb: 1, accelerators: 0}, 100);
  run.workload = BARE;
  assert.approximately(times.expectedEnd(run, 'w0', 150, 1), 2_500, 400);
});
