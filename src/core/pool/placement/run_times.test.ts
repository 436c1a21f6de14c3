import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {ActiveJob} from '../job/active_job.js';
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
