import {assert} from 'chai';
import {JobContact} from '../job/job_contact.js';
import {WorkerLease} from './worker_lease.js';

const LEASE_MS = 600;

test('a lease is expired only when a slow clock has passed its end', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 2);
  assert.equal(lease.extend(2, JobContact.permanent), 10_600);
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
  assert.isBelow(lease.extend(50, JobContact.permanent)!, workerClockMs);
});

test('a reply that arrives out of order does not set the clock back', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_100, 100, 102);
  lease.updateClock(10_000, 0, 150);
  assert.equal(lease.extend(102, JobContact.permanent), 10_700);
});

// A caller sends its job again 1,300 ms after its request has ended, which the
// dispatcher may not have heard of.
test('a lease ends before the callers of its jobs send them again', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 0);
  assert.equal(lease.extend(100, {contactAt: 0}), 10_700);
  const end = lease.extend(1_000, {contactAt: 0})!;
  // The worker's clock may be 2% slow.
  assert.isBelow((end - 10_000) / 0.98, 1_300);
  assert.isUndefined(lease.extend(1_200, {contactAt: 0}));
});

// Guards against a resend time that is so short that no run could go on.
test('a lease lasts from one contact to the next', () => {
  const lease = new WorkerLease(LEASE_MS, 0);
  lease.updateClock(10_000, 0, 0);
  assert.equal(lease.extend(300, {contactAt: 0}), 10_900);
  assert.isAbove(lease.extend(600, {contactAt: 0})!, 10_800);
});

test('a lease is not extended for a run that no job has claimed', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 0);
  assert.isUndefined(lease.extend(10, JobContact.none));
});

// Guards against a run that counts as lost 60 ms after it was started on a worker
// whose process is a new one, and is started elsewhere beside it.
test('a lease may be active when the clock of a new process is read', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_000, 0, 0);
  lease.extend(10, JobContact.permanent);
  lease.reset();
  lease.updateClock(50, 100, 100);
  assert.isFalse(lease.isExpired(400));
  assert.isTrue(lease.isExpired(800));
});

// Guards against a lease that outlasts a contact by the time in which the machine of
// the dispatcher was suspended.
test('a contact is older by a suspension that a worker shows', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_001, 0, 2);
  lease.updateClock(10_101, 100, 102);
  // Suspended for 900 ms at 250.
  lease.updateClock(11_201, 300, 302);
  const end = lease.extend(302, {contactAt: 200})!;
  assert.isBelow((end - 10_200) / 0.98, 1_300);
  assert.isFalse(lease.permits({contactAt: 0}, 302));
  assert.equal(lease.extend(352, {contactAt: 310}), 11_851);
});

// Guards against leases that lapse because a dispatcher reads replies late.
test('a late reply does not count as a suspension', () => {
  const lease = new WorkerLease(LEASE_MS);
  lease.updateClock(10_001, 0, 302);
  lease.updateClock(10_401, 400, 402);
  assert.equal(lease.extend(402, {contactAt: 0}), 11_001);
});
