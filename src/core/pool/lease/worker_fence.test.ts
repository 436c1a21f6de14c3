import {assert} from 'chai';
import {WorkerFence} from './worker_fence.js';

test('a refusal of an outdated token is ignored', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.recordAccepted(5, 0);
  token = 7;
  // The reply to an order that was sent before the token was raised.
  fence.recordFenced(5);
  assert.isFalse(fence.isOutranked);
  fence.recordFenced(7);
  assert.isTrue(fence.isOutranked);
});

// Guards against starts beside the runs of another dispatcher, which may have used a
// worker that has refused nothing.
test('a token that is raised for a contested zone must be accepted again', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.recordAccepted(5, 0);
  assert.isTrue(fence.isProven);
  token = 9;
  assert.isTrue(fence.onTokenRaised(true));
  assert.isFalse(fence.isProven);
  // The reply to an order that was sent before the token was raised.
  fence.recordAccepted(5, 0);
  assert.isFalse(fence.isProven);
  fence.recordAccepted(9, 0);
  assert.isTrue(fence.isProven);
});

test('a raised token must be accepted again after a refusal', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.recordAccepted(5, 0);
  assert.isFalse(fence.onTokenRaised(false));
  assert.isTrue(fence.isProven);
  assert.isTrue(fence.isAccepted);
  fence.recordFenced(5);
  token = 9;
  assert.isTrue(fence.onTokenRaised(false));
  assert.isFalse(fence.isOutranked);
  assert.isFalse(fence.isAccepted);
});

// Guards against a reply of the process before a restart, read after the restart was
// reported, that counts for the process after it.
test('a new process accepts the token by replies to later orders only', () => {
  const fence = new WorkerFence(() => 5);
  fence.recordAccepted(5, 0);
  fence.onRestart(10);
  fence.recordAccepted(5, 9);
  assert.isFalse(fence.isAccepted);
  assert.equal(fence.acceptedToken, 0);
  fence.recordAccepted(5, 10);
  assert.isTrue(fence.isAccepted);
  assert.equal(fence.acceptedToken, 5);
});
