import {assert} from 'chai';
import fc from 'fast-check';
import {LendingBench} from '../../../../test-support/fakes/pool/lending_bench.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';

const RUN_MS = 60;
/** Response time objective of a job of 60 ms. */
const OBJECTIVE_MS = 1.6 * RUN_MS + 60;

/** Zones of 40 places, of which 36 are lent to two borrowers. */
async function createBench(zones = 3, workersEach = 20) {
  const bench = new LendingBench(zones, workersEach);
  for (const zone of bench.zones) {
    for (const worker of zone.bench.workers.values()) {
      worker.runMs = () => RUN_MS;
    }
  }
  // The second exchange of offers is the first one with room.
  await bench.run(405);
  return bench;
}

function wide(id: string) {
  return PoolBench.submission(id, {tasks: 8, estimatedMs: RUN_MS});
}

// The load that lending is for: 14 jobs of 8 tasks need 180 ms on 40 places.
test('a burst in one zone is on time while others have room', async () => {
  const bench = await createBench();
  const startedAt = bench.clock.now();
  const ids = Array.from({length: 14}, (_, n) => `j${n}`);
  for (const id of ids) bench.submit(0, wide(id));
  await bench.run(500);
  for (const id of ids) {
    assert.equal(bench.answerOf(id), 'completed', id);
    assert.isAtMost(bench.answeredAt(id) - startedAt, OBJECTIVE_MS, id);
  }
  assert.isAbove(bench.redirects.length, 0);
  assert.equal(bench.counts.get('jobs_lent_out'), bench.redirects.length);
  assert.isEmpty(bench.overlaps());
});

test('a job is moved when it arrives, not when it is late', async () => {
  const bench = await createBench();
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(3);
  assert.isAbove(bench.redirects.length, 0);
});

// A move costs messages and bytes between zones.
test('nothing moves while the home zone can serve its jobs in time', async () => {
  const bench = await createBench();
  // 80 tasks on 40 places need 120 ms.
  for (let n = 0; n < 10; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(500);
  assert.isEmpty(bench.redirects);
});

test('nothing moves while all zones are full', async () => {
  const bench = await createBench();
  for (let n = 0; n < 3; n += 1) {
    for (let k = 0; k < 40; k += 1) {
      bench.submit(n, PoolBench.submission(`f${n}-${k}`, {estimatedMs: 900}));
    }
    for (const worker of bench.zones[n]!.bench.workers.values()) {
      worker.runMs = () => 900;
    }
  }
  await bench.run(250);
  const startedAt = bench.clock.now();
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(200);
  assert.isEmpty(bench.redirects);
  // They are refused by the same rules as without lending.
  await bench.run(500);
  const refusedAt = bench.answeredAt('j13');
  assert.equal(bench.answerOf('j13'), 'refused');
  assert.isAtMost(refusedAt - startedAt, 3 * OBJECTIVE_MS);
});

test('nothing moves on stale offers', async () => {
  const bench = await createBench();
  bench.areOffersSent = false;
  await bench.run(620);
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(300);
  assert.isEmpty(bench.redirects);
});

// Two homes must not use the same places.
test('two homes with bursts are both on time at one lender', async () => {
  const bench = await createBench();
  const submittedAt = new Map<string, number>();
  for (const home of [0, 1]) {
    for (let n = 0; n < 11; n += 1) {
      const id = `j${home}-${n}`;
      submittedAt.set(id, bench.clock.now());
      bench.submit(home, wide(id));
    }
    await bench.run(5);
  }
  await bench.run(600);
  const late = [...submittedAt].filter(
    ([id, at]) => bench.answeredAt(id) - at > OBJECTIVE_MS,
  );
  assert.isEmpty(late);
  assert.isAbove(bench.redirects.length, 0);
});

test('a lent job goes behind the own jobs of the lender', async () => {
  const bench = await createBench(2, 1);
  const [, lender] = bench.zones;
  for (const worker of lender!.bench.workers.values()) {
    worker.runMs = () => 100;
  }
  lender!.dispatcher.submit('e', PoolBench.submission('a', {tasks: 2}));
  await bench.run(5);
  const lent = {...PoolBench.submission('lent'), isLent: true};
  lender!.dispatcher.submit('e', lent);
  lender!.dispatcher.submit('e', PoolBench.submission('own', {tasks: 4}));
  await bench.run(700);
  assert.isBelow(bench.answeredAt('own'), bench.answeredAt('lent'));
});

// The home has lent the job, so its caller gets a true "not run" in time.
test('a lent job without room is refused and not moved again', async () => {
  const bench = await createBench(3, 1);
  const [, lender] = bench.zones;
  for (const worker of lender!.bench.workers.values()) {
    worker.runMs = () => 2_000;
  }
  const opts = {tasks: 2, estimatedMs: 2_000};
  lender!.dispatcher.submit('e', PoolBench.submission('a', opts));
  await bench.run(5);
  lender!.dispatcher.submit('e', {
    ...PoolBench.submission('lent', {estimatedMs: RUN_MS}),
    isLent: true,
  });
  await bench.run(300);
  assert.equal(bench.answerOf('lent'), 'refused');
  assert.isEmpty(bench.redirects);
});

// The caller sends a job again when it has not received the answer; it may still
// run in the other zone.
test('a moved job that is sent again goes to the same zone', async () => {
  const bench = await createBench();
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(3);
  const [first] = bench.redirects;
  bench.zones[0]!.dispatcher.submit('e2', wide(first!.id));
  const again = bench.redirects.filter(({id}) => id === first!.id);
  assert.deepEqual(again, [first!, first!]);
  await bench.run(10_100);
  bench.zones[0]!.dispatcher.submit('e2', wide(first!.id));
  const all = bench.redirects.filter(({id}) => id === first!.id);
  assert.lengthOf(all, 2);
  assert.isEmpty(bench.overlaps());
});

// Guards against a copy that is moved although its job has run here: the lender refuses
// it as "not run".
test('a moved job that comes back as a lent one is not moved again', async () => {
  const bench = await createBench();
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(300);
  const {id} = bench.redirects[0]!;
  const before = bench.redirects.length;
  const home = bench.zones[0]!.dispatcher;
  home.submit('e2', {...wide(id), isLent: true});
  await bench.run(300);
  assert.equal(bench.zones[0]!.bench.answers.get(id)?.kind, 'completed');
  home.submit('e3', wide(id));
  assert.lengthOf(bench.redirects, before);
});

// While the home was suspended, a fallback has started the job in its zone.
test('a moved job that another dispatcher of the zone had since stays', async () => {
  const bench = await createBench();
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(300);
  const {id} = bench.redirects[0]!;
  const before = bench.redirects.length;
  bench.zones[0]!.dispatcher.submit('e2', {...wide(id), settleMs: 100});
  bench.zones[0]!.dispatcher.submit('e2', wide(id));
  await bench.run(300);
  assert.lengthOf(bench.redirects, before);
  assert.equal(bench.zones[0]!.bench.answers.get(id)?.kind, 'completed');
});

// A refusal of the lender says that no task has run.
test('a job that may have run is not moved', async () => {
  const bench = await createBench();
  const home = bench.zones[0]!.dispatcher;
  bench.submit(0, wide('before'));
  await bench.run(200);
  assert.equal(bench.answerOf('before'), 'completed');
  home.submit('e', {...wide('taken'), settleMs: 100});
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  bench.submit(0, wide('before'));
  await bench.run(300);
  const moved = bench.redirects.map(({id}) => id);
  assert.isNotEmpty(moved);
  assert.notInclude(moved, 'before');
  assert.notInclude(moved, 'taken');
});

test('a dispatcher moves nothing while runs of an earlier one are unknown', async () => {
  const bench = await createBench();
  const [home] = bench.zones;
  home!.dispatcher.close();
  home!.bench.client.faultOf = call => (call === 'look' ? 'order_lost' : 'ok');
  const {lending} = home!;
  home!.dispatcher = home!.bench.createDispatcher({term: 2, lending});
  for (let n = 0; n < 14; n += 1) bench.submit(0, wide(`j${n}`));
  await bench.run(100);
  assert.isEmpty(bench.redirects);
});

// A zone whose workers are all gone can still have its jobs served.
test('a job is moved instead of refused in a zone without workers', async () => {
  const bench = await createBench();
  const [home] = bench.zones;
  const empty = new PoolBench(0, 2, bench.clock);
  const {lending} = home!;
  home!.dispatcher.close();
  home!.dispatcher = empty.createDispatcher({lending});
  await bench.run(4_200);
  home!.dispatcher.tick(bench.clock.now());
  bench.submit(0, wide('j'));
  await bench.run(200);
  assert.equal(bench.answerOf('j'), 'completed');
  assert.isEmpty(empty.answers);
});

test('under swinging demand, moves go from the full zones to the others', async () => {
  await fc.assert(
    fc.asyncProperty(fc.integer({min: 1, max: 1e6}), async seed => {
      const random = new SeededRandom(seed);
      const bench = await createBench();
      const submitted = new Map<string, {zone: string; at: number}>();
      for (let at = 0; at < 2_000; at += 25) {
        const busy = Math.floor(at / 500) % 3;
        for (const zone of [0, 1, 2]) {
          const jobs = zone === busy ? random.integerBelow(8) : 0;
          for (let n = 0; n < jobs; n += 1) {
            const id = `j${at}-${zone}-${n}`;
            submitted.set(id, {zone: `z${zone}`, at: bench.clock.now()});
            bench.submit(zone, wide(id));
          }
        }
        await bench.run(25);
      }
      await bench.run(1_500);
      for (const id of submitted.keys()) assert.isDefined(bench.answerOf(id));
      for (const {id, zone} of bench.redirects) {
        assert.notEqual(zone, submitted.get(id)!.zone);
      }
      const ids = bench.redirects.map(({id}) => id);
      assert.lengthOf(ids, new Set(ids).size);
      assert.isEmpty(bench.overlaps());
    }),
    {numRuns: 6},
  );
});
