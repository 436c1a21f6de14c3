import {assert} from 'chai';
import fc from 'fast-check';
import {DispatchBench} from '../../../../test-support/fakes/dispatch_bench.js';
import type {QueuedTask} from '../queued_task.js';
import {JobQueue} from './job_queue.js';

const JOBS = 20_000;
const MIN_GARBAGE = 64;

function taskOf(job: number): QueuedTask {
  return {
    key: `k${job}`,
    index: 0,
    className: 'c',
    tenant: 't',
    memoryMb: 0,
    accelerators: 0,
    submittedAt: job,
    jobSize: 1,
    config: DispatchBench.classOf('c'),
    repeatable: false,
    avoid: undefined,
    removed: false,
  };
}

// Cancels come in waves; a search of the queue for each would be quadratic.
test('a wave of cancels costs in proportion to the cancelled tasks', () => {
  const queue = new JobQueue();
  const tasks = Array.from({length: JOBS}, (_, job) => taskOf(job));
  for (const task of tasks) queue.push(task, () => task.submittedAt);
  for (const task of tasks.slice(100)) {
    task.removed = true;
    queue.removed(task);
    assert.isAtMost(queue.held, 2 * (queue.live + 1) + MIN_GARBAGE);
  }
  assert.equal(queue.live, 100);
  assert.isAtMost(queue.visited, 5 * JOBS);
});

test('live jobs come out by due time whatever was removed', () => {
  const steps = fc.array(fc.tuple(fc.nat(50), fc.boolean()), {maxLength: 300});
  fc.assert(
    fc.property(steps, jobs => {
      const queue = new JobQueue();
      const live: QueuedTask[] = [];
      jobs.forEach(([due, isRemoved], job) => {
        const task = {...taskOf(job), submittedAt: due};
        queue.push(task, () => due);
        if (isRemoved) {
          task.removed = true;
          queue.removed(task);
        } else {
          live.push(task);
        }
      });
      const dues: number[] = [];
      for (let entry = queue.earliest; entry; entry = queue.earliest) {
        assert.isFalse(entry.peek()!.removed);
        dues.push(entry.due);
        queue.take(entry);
      }
      const expected = live.map(t => t.submittedAt).sort((a, b) => a - b);
      assert.deepEqual(dues, expected);
      assert.equal(queue.live, 0);
    }),
    {seed: 1, numRuns: 200},
  );
});
