import {assert} from 'chai';
import fc from 'fast-check';
import {SpilloverPolicy} from './spillover_policy.js';

const CANDIDATE = {
  job: 'a',
  tasks: 8,
  taskCpu: 8_000,
  workMs: 480,
  runMs: 60,
  endsBy: 156,
  bytes: 200,
  hasDataAtHome: false,
};
const OFFER = {
  node: 'n1',
  zone: 'z1',
  token: 1_001,
  cpu: 128_000,
  largestTask: 16_000,
  pathMs: 1,
};
const policy = new SpilloverPolicy();

function zonesOf(
  candidates: ReadonlyArray<typeof CANDIDATE>,
  offers: ReadonlyArray<typeof OFFER>,
  now = 0,
) {
  return policy
    .choose(candidates, offers, 8_000, now)
    .map(({job, offer}) => `${job} ${offer.zone}`);
}

test('a job goes to the nearest zone with enough room', () => {
  const far = {...OFFER, node: 'n2', zone: 'z2', pathMs: 3};
  assert.deepEqual(zonesOf([CANDIDATE], [far, OFFER]), ['a z1']);
  const small = {...OFFER, cpu: 56_000};
  assert.deepEqual(zonesOf([CANDIDATE], [far, small]), ['a z2']);
});

test('of equally near zones the one with most room is chosen', () => {
  const wide = {...OFFER, node: 'n2', zone: 'z2', cpu: 160_000};
  const jobs = ['a', 'b', 'c'].map(job => ({...CANDIDATE, job}));
  assert.deepEqual(zonesOf(jobs, [OFFER, wide]), ['a z2', 'b z1', 'c z2']);
});

test('nothing moves while all zones are full', () => {
  assert.isEmpty(zonesOf([CANDIDATE], []));
  assert.isEmpty(zonesOf([CANDIDATE], [{...OFFER, cpu: 8_000}]));
});

test('a job stays that would be late in the other zone too', () => {
  assert.isEmpty(zonesOf([CANDIDATE], [OFFER], 100));
  const far = {...OFFER, pathMs: 50};
  assert.isEmpty(zonesOf([CANDIDATE], [far]));
});

test('a task that fits on no worker of the lender stays', () => {
  const large = {...CANDIDATE, taskCpu: 12_000, tasks: 2};
  assert.isEmpty(zonesOf([large], [{...OFFER, largestTask: 8_000}]));
  assert.deepEqual(zonesOf([large], [OFFER]), ['a z1']);
});

// A task of 12 cores leaves 4 of 16 free, which hold no other task.
test('a large task takes whole places', () => {
  const large = {...CANDIDATE, taskCpu: 12_000, tasks: 2};
  const [move] = policy.choose([large], [OFFER], 8_000, 0);
  assert.equal(move?.cpu, 32_000);
});

test('jobs that are cheap to move go first', () => {
  const jobs = [
    {...CANDIDATE, job: 'bound', hasDataAtHome: true},
    {...CANDIDATE, job: 'big', bytes: 100_000},
    {...CANDIDATE, job: 'long', workMs: 3_600, endsBy: 1_500},
    {...CANDIDATE, job: 'cheap'},
  ];
  assert.deepEqual(zonesOf(jobs, [{...OFFER, cpu: 2 * 64_000}]), [
    'cheap z1',
    'long z1',
  ]);
});

test('moves never exceed the offers, and no job moves twice', () => {
  const offer = fc.record({
    cpu: fc.integer({min: 0, max: 40}).map(n => n * 8_000),
    pathMs: fc.integer({min: 0, max: 60}),
    largestTask: fc.constantFrom(8_000, 16_000, 24_000),
  });
  const candidate = fc.record({
    tasks: fc.integer({min: 1, max: 8}),
    taskCpu: fc.constantFrom(4_000, 8_000, 12_000),
    bytes: fc.nat(20_000),
    workMs: fc.nat(4_000),
  });
  fc.assert(
    fc.property(
      fc.array(candidate, {maxLength: 30}),
      fc.array(offer, {maxLength: 4}),
      (some, rooms) => {
        const jobs = some.map((c, at) => ({...CANDIDATE, ...c, job: `${at}`}));
        const offers = rooms.map((r, at) => ({
          ...OFFER,
          ...r,
          node: `n${at}`,
          zone: `z${at}`,
        }));
        const moves = policy.choose(jobs, offers, 8_000, 0);
        assert.equal(new Set(moves.map(m => m.job)).size, moves.length);
        for (const one of offers) {
          const taken = moves
            .filter(m => m.offer === one)
            .reduce((sum, m) => sum + m.cpu, 0);
          assert.isAtMost(taken, one.cpu);
        }
      },
    ),
  );
});
