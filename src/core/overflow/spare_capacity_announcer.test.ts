import {assert} from 'chai';
import * as v from 'valibot';
import {WorkerAnnouncement} from '../worker/worker_announcement.js';
import type {SpareCapacity} from './spare_capacity.js';
import {SpareCapacityAnnouncer} from './spare_capacity_announcer.js';

/** Twice the clock skew between zones that submissions tolerate. */
const MIN_GROUP_AGE_MS = 4_000;

// Also guards against offers of a zone whose group formed so recently that it
// would refuse new keys as expired.
function announceSlots(slots: number): WorkerAnnouncement {
  const offers: WorkerAnnouncement[] = [];
  const spare = {find: () => ({slots, memoryMb: 0, classes: []})};
  const announcer = new SpareCapacityAnnouncer({
    zone: 'arbat',
    zones: ['medeu'],
    spare: spare as unknown as SpareCapacity,
    lentSlots: () => new Map(),
    memoryStart: () => 0,
    announce: announcement => offers.push(announcement),
  });
  announcer.tick(1, MIN_GROUP_AGE_MS - 1);
  assert.lengthOf(offers, 0);
  announcer.tick(1, MIN_GROUP_AGE_MS);
  assert.lengthOf(offers, 1);
  return offers[0]!;
}

// Guards against offers that the borrowing zone refuses as invalid, so that it
// goes on using an outdated one.
test('an offer of one slot or none is a valid announcement', () => {
  for (const slots of [0, 1]) {
    assert.isTrue(
      v.safeParse(WorkerAnnouncement, announceSlots(slots)).success,
    );
  }
  assert.isTrue(announceSlots(0).leaving);
});

// Guards against an offered slot that no connection is left for: one connection
// is reserved for control messages.
test('every offered slot can be used', () => {
  const {slots, connections} = announceSlots(5);
  assert.equal(Math.min(slots, connections - 1), 5);
});
