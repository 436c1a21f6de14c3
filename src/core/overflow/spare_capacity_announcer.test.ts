import {assert} from 'chai';
import * as v from 'valibot';
import {WorkerAnnouncement} from '../worker/worker_announcement.js';
import {SpareCapacityAnnouncer} from './spare_capacity_announcer.js';
import type {SpareCapacity} from './spare_capacity.js';

/** Twice the skew of clocks that the zone allows for. */
const SETTLED_MS = 4_000;

// Also guards against offers of a zone that would refuse new keys as forgotten.
function offer(slots: number): WorkerAnnouncement {
  const offers: WorkerAnnouncement[] = [];
  const spare = {find: () => ({slots, memoryMb: 0, classes: []})};
  const lender = new SpareCapacityAnnouncer({
    zone: 'arbat',
    zones: ['medeu'],
    spare: spare as unknown as SpareCapacity,
    lentSlots: () => new Map(),
    memoryStart: () => 0,
    announce: announcement => offers.push(announcement),
  });
  lender.tick(1, SETTLED_MS - 1);
  assert.lengthOf(offers, 0);
  lender.tick(1, SETTLED_MS);
  assert.lengthOf(offers, 1);
  return offers[0]!;
}

// A borrower refuses an offer that is not valid, and goes on with an older one.
test('an offer of one slot or none is a valid announcement', () => {
  for (const slots of [0, 1]) {
    assert.isTrue(v.safeParse(WorkerAnnouncement, offer(slots)).success);
  }
  assert.isTrue(offer(0).leaving);
});

// One connection is for control, so a start needs one more than the slots.
test('every offered slot can be used', () => {
  const {slots, connections} = offer(5);
  assert.equal(Math.min(slots, connections - 1), 5);
});
