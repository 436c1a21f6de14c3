import {assert} from 'chai';
import {WorkerFence} from './worker_fence.js';

test('a refusal of an outdated token is ignored', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.recordAccepted(5);
  token = 7;
  // The reply to an order that was sent before the token was raised.
  fence.recordFenced(5);
  assert.isFalse(fence.isOutranked);
  fence.recordFenced(7);
  assert.isTrue(fence.isOutranked);
});

test('a raised token must be accepted again', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.recordAccepted(5);
  assert.isFalse(fence.onTokenRaised());
  assert.isTrue(fence.isAccepted);
  fence.recordFenced(5);
  token = 9;
  assert.isTrue(fence.onTokenRaised());
  assert.isFalse(fence.isOutranked);
  assert.isFalse(fence.isAccepted);
});
