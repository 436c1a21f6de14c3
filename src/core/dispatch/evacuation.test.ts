import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {SpareCapacity} from '../overflow/spare_capacity.js';
import {FifoPolicy} from './fifo_policy.js';

function setEvacuated(bench: DispatchBench, ...evacuated: string[]): void {
  const config = bench.config.current();
  bench.config.set({...config, version: config.version + 1, evacuated});
}

function startable(bench: DispatchBench): string[] {
  const epoch = bench.replicator.leadingEpoch!;
  return [...bench.registry.list()]
    .filter(w => bench.registry.isStartable(w, epoch, bench.clock.now()))
    .map(({id}) => id);
}

test('a task waits while its zone is evacuated and starts after the return', () => {
  const bench = new DispatchBench({workers: 2});
  setEvacuated(bench, 'arbat');
  const key = bench.submit([50]);
  bench.clock.advance(5_000);
  assert.isEmpty(startable(bench));
  assert.equal(bench.answer(key)?.status, 'running');
  assert.equal(bench.dispatcher.queued, 1);
  setEvacuated(bench);
  bench.clock.advance(500);
  assert.equal(bench.answer(key)?.status, 'complete');
});

test('tasks that run when their zone is evacuated finish', () => {
  const bench = new DispatchBench({workers: 1, slots: 1});
  const running = bench.submit([2_000]);
  bench.clock.advance(100);
  setEvacuated(bench, 'arbat');
  const waiting = bench.submit([50]);
  bench.clock.advance(4_000);
  assert.equal(bench.answer(running)?.status, 'complete');
  assert.equal(bench.answer(waiting)?.status, 'running');
});

test('an evacuated zone lends no slots', () => {
  const bench = new DispatchBench({workers: 2});
  const spare = new SpareCapacity(bench.registry, new FifoPolicy());
  const find = () =>
    spare.find(bench.replicator.leadingEpoch!, bench.clock.now()).slots;
  assert.isAbove(find(), 0);
  setEvacuated(bench, 'arbat');
  assert.equal(find(), 0);
});

test('slots of an evacuated zone are not borrowed', () => {
  const bench = new DispatchBench({workers: 1});
  bench.addWorker('zone.medeu', 4);
  bench.clock.advance(1_000);
  assert.include(startable(bench), 'zone.medeu');
  setEvacuated(bench, 'medeu');
  assert.deepEqual(startable(bench), ['w1']);
});

test('workers of a zone that returns get starts in steps', () => {
  const bench = new DispatchBench({workers: 8});
  setEvacuated(bench, 'arbat');
  bench.clock.advance(500);
  setEvacuated(bench);
  const counts = [0, 1, 2, 3].map(() => {
    bench.clock.advance(500);
    const {length} = startable(bench);
    bench.clock.advance(500);
    return length;
  });
  assert.deepEqual(counts, [2, 4, 6, 8]);
});

// The home of the task would otherwise wait until the return.
test('a lent task that waits in an evacuated zone goes back as not run', () => {
  const bench = new DispatchBench({workers: 1});
  const lent = bench.submit([50], {lentTo: 'medeu'});
  const own = bench.submit([50]);
  setEvacuated(bench, 'arbat');
  bench.clock.advance(6_000);
  assert.include(bench.answer(lent), {status: 'failed', outcome: 'not_run'});
  assert.equal(bench.answer(own)?.status, 'running');
});
