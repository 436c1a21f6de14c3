import {assert} from 'chai';
import fc from 'fast-check';
import {RoomOffers} from './room_offers.js';

const OFFER = {
  node: 'n1',
  zone: 'z1',
  token: 1_001,
  room: {cpu: 64_000, largestTask: 16_000},
  pathMs: 1,
  heardAt: 0,
};

function cpuOf(offers: RoomOffers, now: number): number {
  return offers.open(now).reduce((sum, {cpu}) => sum + cpu, 0);
}

test('an offer that was not renewed counts as zero', () => {
  const offers = new RoomOffers();
  offers.record(OFFER);
  assert.equal(cpuOf(offers, 600), 64_000);
  assert.isEmpty(offers.open(601));
  assert.deepEqual(offers.count(601), {live: 0, empty: 0});
});

// The lender has computed an offer before it received the jobs moved just now.
test('a job on its way is deducted from the next offer as well', () => {
  const offers = new RoomOffers();
  offers.record(OFFER);
  offers.take('n1', 16_000, 100, 900);
  offers.take('n1', 8_000, 190, 900);
  assert.equal(cpuOf(offers, 195), 40_000);
  offers.record({...OFFER, heardAt: 200});
  assert.equal(cpuOf(offers, 200), 56_000);
  offers.record({...OFFER, heardAt: 400});
  assert.equal(cpuOf(offers, 400), 64_000);
});

// Jobs of 60 ms would otherwise use a place once in the 200 ms between offers.
test('the places of a job that has ended can be used again', () => {
  const offers = new RoomOffers();
  offers.record(OFFER);
  offers.take('n1', 64_000, 10, 90);
  assert.equal(cpuOf(offers, 89), 0);
  assert.equal(cpuOf(offers, 90), 64_000);
});

test('the offer of a holder that was replaced is dropped', () => {
  const offers = new RoomOffers();
  offers.record(OFFER);
  offers.record({...OFFER, node: 'n2', token: 1_002, heardAt: 10});
  assert.deepEqual(
    offers.open(10).map(({node}) => node),
    ['n2'],
  );
  // A suspended holder repeats its claim.
  offers.record({...OFFER, heardAt: 20});
  assert.deepEqual(
    offers.open(20).map(({node}) => node),
    ['n2'],
  );
});

test('an empty offer counts its dispatcher and holds nothing', () => {
  const offers = new RoomOffers();
  offers.record({...OFFER, room: {cpu: 0, largestTask: 0}});
  assert.deepEqual(offers.count(0), {live: 1, empty: 1});
  assert.isEmpty(offers.open(0));
  offers.remove('n1');
  assert.deepEqual(offers.count(0), {live: 0, empty: 0});
});

test('no more is taken of an offer than it holds', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 40}), {maxLength: 60}),
      fc.integer({min: 0, max: 200}),
      (takings, room) => {
        const offers = new RoomOffers();
        offers.record({...OFFER, room: {cpu: room, largestTask: 16}});
        let taken = 0;
        for (const [at, cpu] of takings.entries()) {
          if (cpuOf(offers, at) < cpu) continue;
          offers.take('n1', cpu, at, 1_000);
          taken += cpu;
        }
        assert.isAtMost(taken, room);
      },
    ),
  );
});
