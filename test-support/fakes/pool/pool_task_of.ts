import {ActiveJob} from '../../../src/core/pool/job/active_job.js';
import type {PoolJob} from '../../../src/core/pool/job/pool_job.js';
import type {PoolTask} from '../../../src/core/pool/job/pool_task.js';
import {PoolBench} from './pool_bench.js';

/** Waiting task of a job with one step, for tests of decisions on tasks. */
export function poolTaskOf(
  id: string,
  change: Partial<PoolJob['steps'][number]> = {},
  now = 0,
): PoolTask {
  const submission = PoolBench.submission(id);
  const demand = {cpu: 8_000, memoryMb: 1, accelerators: 0};
  const step = {...submission.job.steps[0]!, demand, ...change};
  const queue = PoolBench.table().find('h', submission.path)!;
  const job = {...submission.job, steps: [step]};
  return new ActiveJob({...submission, job}, {owner: 'e', queue, token: 1, now})
    .tasks[0]!;
}
