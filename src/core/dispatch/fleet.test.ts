import {assert} from 'chai';
import fc from 'fast-check';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {Fleet} from './fleet.js';

const EPOCH = 1;

function benchFleet(workers: number) {
  const bench = new DispatchBench({workers});
  for (const worker of bench.registry.list()) worker.fencedEpoch = EPOCH;
  const fleet = new Fleet(bench.registry);
  fleet.refresh(EPOCH, bench.clock.now());
  return {bench, fleet};
}

// A scan of all workers for each flush is too slow with 312 workers.
test('starts and ends update the view without a scan of the workers', () => {
  const {bench, fleet} = benchFleet(3);
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(2), fc.boolean()), {maxLength: 60}),
      steps => {
        for (const [at, isStart] of steps) {
          const worker = bench.registry.get(`w${at + 1}`)!;
          if (isStart && worker.freeSlots > 0) {
            worker.occupy(attemptOn(worker.id));
          } else {
            const [id] = worker.attempts.keys();
            if (id !== undefined) worker.release(id);
          }
          const workers = [...bench.registry.list()];
          const free = workers.filter(w => w.freeSlots > 0).map(w => w.id);
          assert.sameMembers(
            fleet.startable.map(w => w.id),
            free,
          );
          const slots = workers.reduce((sum, w) => sum + w.freeSlots, 0);
          assert.equal(fleet.freeSlots, slots);
        }
      },
    ),
    {seed: 1, numRuns: 50},
  );
  assert.equal(fleet.scans, 1);
});

test('a worker whose lease has expired is not startable', () => {
  const {bench, fleet} = benchFleet(2);
  const w1 = bench.registry.get('w1')!;
  w1.leaseExpiresAt = 0;
  fleet.refresh(EPOCH, bench.clock.now());
  assert.deepEqual(
    fleet.startable.map(w => w.id),
    ['w2'],
  );
  const end = bench.clock.now() + 60_000;
  assert.lengthOf(fleet.refresh(EPOCH, end).startable, 0);
});

// The view left out workers whose announcements were late at a scan. Nothing
// told it of the next ones, so an idle fleet was given no more work for good.
test('a worker that was silent for a while is startable again', () => {
  const {bench, fleet} = benchFleet(1);
  const worker = bench.registry.get('w1')!;
  const {announcement} = worker;
  const late = worker.announcedAt + 1_600;
  fleet.eligibilityChanged();
  assert.isEmpty(fleet.refresh(EPOCH, late).startable);
  const next = {...announcement, sequence: announcement.sequence + 1};
  bench.registry.announce(next, late + 1);
  assert.lengthOf(fleet.refresh(EPOCH, late + 2).startable, 1);
});

let attempts = 0;

function attemptOn(worker: string) {
  attempts += 1;
  return {
    id: `1.${attempts}`,
    key: 'k',
    task: 0,
    worker,
    incarnation: 'i',
    className: 'default',
    tenant: 'default',
    memoryMb: 0,
    accelerators: 0,
    phase: 'sent' as const,
    since: 0,
    stopping: false,
  };
}
