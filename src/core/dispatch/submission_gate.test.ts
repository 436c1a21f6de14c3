import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {WorkerRegistry} from '../worker/worker_registry.js';

const TASKS = 840;

function jobOf(memoryMb: (index: number) => number) {
  const bench = new DispatchBench({workers: 20});
  const key = bench.newKey();
  const tasks = Array.from({length: TASKS}, (_, index) => ({
    payload: null,
    memory_mb: memoryMb(index),
  }));
  return {bench, key, spec: bench.spec(key, [], {tasks})};
}

// Checking each task against each worker takes 840 x 312 steps for 312 workers.
test('the task sizes of a job are checked in one pass over the workers', () => {
  const {bench, key, spec} = jobOf(index => index);
  const original = WorkerRegistry.prototype.isPlaceable;
  let passes = 0;
  WorkerRegistry.prototype.isPlaceable = function (...args) {
    passes += 1;
    return original.apply(this, args);
  };
  try {
    assert.isTrue(bench.dispatcher.submit(key, spec, bench.clock.now()).isOk);
  } finally {
    WorkerRegistry.prototype.isPlaceable = original;
  }
  assert.equal(passes, 1);
});

test('a refusal identifies the one task that is too large', () => {
  const {bench, key, spec} = jobOf(index => (index === 500 ? 1_000_000 : 10));
  const refused = bench.dispatcher.submit(key, spec, bench.clock.now());
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.include(refused.error.detail, 'task 500');
});
