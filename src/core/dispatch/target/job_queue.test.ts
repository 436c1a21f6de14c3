import {assert} from 'chai';
import fc from 'fast-check';
import {DispatchBench} from '../../../../test-support/fakes/dispatch_bench.js';
import type {QueuedTask} from '../queued_task.js';
import {JobQueue} from './job_queue.js';

const JOBS = 20_000;
const MIN_EMPTY = 64;

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

// Cancellations come in bursts; a queue search for each would be quadratic.
test('the cost of a burst of cancellations is linear in its size', () => {
  const queue = new JobQueue();
  const tasks = Array.from({length: JOBS}, (_, job) => taskOf(job));
  for (const task of tasks) queue.push(task, () => task.submittedAt);
  for (const task of tasks.slice(100)) {
    task.removed = true;
    queue.removed(task);
    assert.isAtMost(queue.allocatedEntries, 2 * (queue.queued + 1) + MIN_EMPTY);
  }
  assert.equal(queue.queued, 100);
  assert.isAtMost(queue.compactionVisits, 5 * JOBS);
});

test('jobs come out by due time, without removed ones', () => {
  const steps = fc.array(fc.tuple(fc.nat(50), fc.boolean()), {maxLength: 300});
  fc.assert(
    fc.property(steps, jobs => {
      const queue = new JobQueue();
      const kept: QueuedTask[] = [];
      jobs.forEach(([due, isRemoved], job) => {
        const task = {...taskOf(job), submittedAt: due};
        queue.push(task, () => due);
        if (isRemoved) {
          task.removed = true;
          queue.removed(task);
        } else {
          kept.push(task);
        }
      });
      const dueTimes: number[] = [];
      for (let entry = queue.earliest; entry; entry = queue.earliest) {
        assert.isFalse(entry.peek()!.removed);
        dueTimes.push(entry.dueTime);
        queue.take(entry);
      }
      const expected = kept.map(t => t.submittedAt).sort((a, b) => a - b);
      assert.deepEqual(dueTimes, expected);
      assert.equal(queue.queued, 0);
    }),
    {seed: 1, numRuns: 200},
  );
});
