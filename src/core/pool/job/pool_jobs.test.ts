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
    observer: {
      recordJobEvent: noop,
      recordStateChange: noop,
      recordResponseTime: noop,
      recordPhase: noop,
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
  job.recordStart();
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

// What became of a lost worker may be found out after the caller has sent the job
// again; the dispatcher then forgot the new job, whose tasks ran twice.
test('a job that was sent again outlives what is left of the first one', async () => {
  const bench = new PoolBench(2);
  const [silent, other] = bench.workers.values();
  silent!.runMs = () => 200;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  bench.client.faultOf = (_call, id) => (id === 'w1' ? 'order_lost' : 'ok');
  await bench.run(600, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 600}));
  await bench.run(20, dispatcher);
  assert.equal(silent!.running.size, 1);
  bench.client.faultOf = (_call, id) => (id === 'w0' ? 'order_lost' : 'ok');
  await bench.run(1_500, dispatcher);
  dispatcher.drop('j', 'e', 'caller_gone');
  other!.runMs = () => 900;
  await bench.run(200, dispatcher);
  dispatcher.submit('e', PoolBench.submission('j', {estimatedMs: 600}));
  await bench.run(50, dispatcher);
  bench.client.faultOf = () => 'ok';
  await bench.run(700, dispatcher);
  assert.isTrue(dispatcher.has('j'));
  await bench.run(1_500, dispatcher);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.isEmpty(bench.overlaps());
});

// Tells a slow entry node from a full zone.
test('the lines of a job tell how long it took to arrive and to start', async () => {
  const bench = new PoolBench(1, 1);
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('first'));
  await bench.run(10, dispatcher);
  dispatcher.submit('e', {...PoolBench.submission('next'), waitedMs: 40});
  await bench.run(300, dispatcher);
  const completed = bench.jobEvents.filter(e => e.event === 'job_completed');
  const [, next] = completed.map(e => e.fields);
  assert.equal(next!['entry_ms'], 40);
  assert.approximately(next!['queued_ms'] as number, 95, 15);
});

// Guards against a refusal that is not true, as the caller sends the job again
// elsewhere, and against a job that starts after it was refused.
test('only a job that has not run is released to a stopping entry node', async () => {
  const bench = new PoolBench(1, 1);
  const [worker] = bench.workers.values();
  worker!.runMs = () => 500;
  const dispatcher = bench.createDispatcher();
  await bench.run(50, dispatcher);
  dispatcher.submit('e', PoolBench.submission('first', {estimatedMs: 500}));
  await bench.run(10, dispatcher);
  dispatcher.submit('e', PoolBench.submission('next', {estimatedMs: 500}));
  await bench.run(10, dispatcher);
  const release = (id: string, owner: string) =>
    dispatcher.jobs.release(id, owner, 'entry_stopping');
  release('next', 'another');
  assert.isTrue(dispatcher.has('next'));
  for (const id of ['first', 'next']) release(id, 'e');
  assert.equal(bench.answers.get('next')?.kind, 'refused');
  assert.isFalse(bench.answers.has('first'));
  await bench.run(1_500, dispatcher);
  assert.equal(bench.answers.get('first')?.kind, 'completed');
  assert.notInclude(
    worker!.history.map(h => h.task),
    'next.0.0.0',
  );
});

test('a job that an earlier dispatcher had is not released', () => {
  const {answers, jobs, clock} = createBench();
  const submission = {...PoolBench.submission('k'), settleMs: 1_000};
  const queue = PoolBench.table().find(submission.host, submission.path)!;
  const now = clock.now();
  jobs.add(new ActiveJob(submission, {owner: 'e', queue, token: 1, now}));
  jobs.release('k', 'e', 'entry_stopping');
  assert.isEmpty(answers);
  assert.isDefined(jobs.get('k'));
});
