import {assert} from 'chai';
import fc from 'fast-check';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import {WorkerIndex} from './worker_index.js';

interface Bench {
  readonly index: WorkerIndex;
  readonly workers: readonly LeasedWorker[];
  readonly free: Map<LeasedWorker, number>;
}

function createBench(cpus: readonly number[]): Bench {
  const workers = cpus.map((_, n) => usableWorker(`w${n}`));
  const free = new Map(workers.map((worker, n) => [worker, cpus[n]!]));
  const index = new WorkerIndex(worker => {
    const freeCpu = free.get(worker)!;
    if (freeCpu < 0) return undefined;
    return {freeCpu, slowness: 1, healthCost: 0};
  });
  index.rebuild(workers);
  return {index, workers, free};
}

// Guards against a start that is not made although a worker has room, or that
// looks at workers without room: the index must agree with a scan of all.
test('after any changes, exactly the workers with room are found', () => {
  const cpu = fc.integer({min: -1, max: 70_000});
  const change = fc.record({worker: fc.nat({max: 9}), cpu});
  const cpus = fc.array(cpu, {minLength: 10, maxLength: 10});
  fc.assert(
    fc.property(cpus, fc.array(change), cpu, (initial, changes, wanted) => {
      const {index, workers, free} = createBench(initial);
      for (const each of changes) {
        const worker = workers[each.worker]!;
        free.set(worker, each.cpu);
        index.refresh(worker);
      }
      const demand = Math.max(1, wanted);
      const found: LeasedWorker[] = [];
      index.visitFitting('svc', demand, e => found.push(e.worker));
      const expected = workers.filter(w => free.get(w)! >= demand);
      assert.sameMembers(found, expected);
      assert.equal(index.hasRoom('svc', demand), expected.length > 0);
    }),
  );
});
