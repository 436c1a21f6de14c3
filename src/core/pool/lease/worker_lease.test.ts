import {assert} from 'chai';
import {WorkerLease} from './worker_lease.js';

const LEASE_MS = 600;

test('a lease is expired only when a slow clock has passed its end', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 2);
  assert.equal(lease.extend(2), 10_600);
  assert.isFalse(lease.isExpired(605));
  // Allows for a clock that is 2% slow, and for late timers.
  assert.isFalse(lease.isExpired(612));
  assert.isTrue(lease.isExpired(700));
});

// The monotonic clock stops while the VM is suspended.
test('after a suspension, a dispatcher requests an expired lease', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 2);
  const workerClockMs = 10_000 + 5_000;
  assert.isBelow(lease.extend(50), workerClockMs);
});

test('a reply that arrives out of order does not set the clock back', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_100, 100, 102);
  lease.updateClock(10_000, 0, 150);
  assert.equal(lease.extend(102), 10_700);
});
