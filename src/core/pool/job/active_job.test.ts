import {assert} from 'chai';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {ActiveJob} from './active_job.js';

/** Time without a confirmation after which a leader sends no orders. */
const LEADER_CONFIRMATION_MS = 250;

// Guards against a job that holds up leader after leader: with many steps and
// dependencies, each end of a run once cost time with the cube of its size.
test('a job with many dependencies does not hold up the dispatcher', () => {
  const {job: spec, ...submission} = PoolBench.submission('j');
  const [step] = spec.steps;
  const after = [...Array.from({length: 50}, () => 0), 1];
  const steps = [
    {...step!, count: 1_000},
    ...Array.from({length: 1_000}, (_, n) => ({
      ...step!,
      after: n === 0 ? [] : after,
    })),
  ];
  const queue = PoolBench.table().find('h', '/a/j')!;
  const job = new ActiveJob(
    {...submission, job: {...spec, steps}},
    {owner: 'e', queue, token: 1, now: 0},
  );
  for (const task of job.tasks) if (task.step === 0) task.state = 'done';
  const startedAt = performance.now();
  for (let ends = 0; ends < 10; ends += 1) job.unblock();
  assert.isBelow(performance.now() - startedAt, LEADER_CONFIRMATION_MS);
  assert.equal(job.tasks.filter(t => t.state === 'blocked').length, 999);
  for (const task of job.tasks) if (task.step === 1) task.state = 'done';
  job.unblock();
  assert.equal(job.tasks.filter(t => t.state === 'blocked').length, 0);
});
