import {assert} from 'chai';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {ActiveJob} from './active_job.js';
import {InfeasibleJobs} from '../admission/infeasible_jobs.js';
import {PoolJobs} from './pool_jobs.js';
import type {PoolAnswer} from './pool_answer.js';
import {RunTimes} from '../placement/run_times.js';

const RESEND_WINDOW_MS = 10_000;

function createBench() {
  const clock = new FakeClock();
  const answers: PoolAnswer[] = [];
  const noop = () => undefined;
  const jobs = new PoolJobs({
    clock,
    infeasible: new InfeasibleJobs(new RunTimes()),
    answer: (_owner, _id, answer) => answers.push(answer),
    proof: {isOpen: false, isProved: false, isInDoubt: () => false},
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      incrementCounter: noop,
    },
  });
  const submission = PoolBench.submission('j');
  const queue = PoolBench.table().find(submission.host, submission.path)!;
  const now = clock.now();
  const job = new ActiveJob(submission, {owner: 'e', queue, token: 1, now});
  jobs.add(job);
  return {clock, answers, jobs, job};
}

// The caller's connection broke after a task had run; it sends the job again
// and is refused. "Not run" would be wrong.
test('a job that ran before is not refused as not run', () => {
  const {clock, answers, jobs, job} = createBench();
  job.hasStarted = true;
  jobs.abandon(job);
  clock.advance(1_300);
  jobs.expire(clock.now());
  jobs.refuse('e2', 'j', 'too_late', 1_000);
  assert.deepEqual(
    answers.map(a => a.kind),
    ['given_up'],
  );
  clock.advance(RESEND_WINDOW_MS);
  jobs.expire(clock.now());
  jobs.refuse('e2', 'j', 'too_late', 1_000);
  assert.equal(answers.at(-1)?.kind, 'refused');
});

test('a job that was dropped before it started is refused as not run', () => {
  const {answers, jobs, job} = createBench();
  jobs.abandon(job);
  jobs.refuse('e2', 'j', 'too_late', 1_000);
  assert.deepEqual(
    answers.map(a => a.kind),
    ['refused'],
  );
});
