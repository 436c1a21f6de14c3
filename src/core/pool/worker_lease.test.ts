import {assert} from 'chai';
import {WorkerLease} from './worker_lease.js';

const LEASE_MS = 600;

test('a lease is over only when a slow clock has passed its end', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 2);
  assert.equal(lease.extend(2), 10_600);
  assert.isFalse(lease.isExpired(605));
  // 2% slow, and some slack for late timers.
  assert.isFalse(lease.isExpired(612));
  assert.isTrue(lease.isExpired(700));
});

// The steady clock stands still while the machine is suspended.
test('a lead that was suspended asks for a lease that is over', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 2);
  const workerMsAfterwards = 10_000 + 5_000;
  assert.isBelow(lease.extend(50), workerMsAfterwards);
});

test('an answer that was overtaken does not set the clock back', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_100, 100, 102);
  lease.updateClock(10_000, 0, 150);
  assert.equal(lease.extend(102), 10_700);
});
