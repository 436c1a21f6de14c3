import {assert} from 'chai';
import {WorkerFence} from './worker_fence.js';

test('a refusal counts only for the token that was refused', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.obeyed();
  token = 7;
  // The answer to an order that was sent before the token rose.
  fence.refused(5);
  assert.isFalse(fence.isOutranked);
  fence.refused(7);
  assert.isTrue(fence.isOutranked);
});

test('a raised token must be obeyed anew', () => {
  let token = 5;
  const fence = new WorkerFence(() => token);
  fence.obeyed();
  assert.isFalse(fence.raise());
  assert.isTrue(fence.isObeyed);
  fence.refused(5);
  token = 9;
  assert.isTrue(fence.raise());
  assert.isFalse(fence.isOutranked);
  assert.isFalse(fence.isObeyed);
});
