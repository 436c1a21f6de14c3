import {assert} from 'chai';
import {DispatchWarmUp} from './dispatch_warm_up.js';

test('the warm-up dispatches and answers jobs, and ends', async () => {
  const warmUp = new DispatchWarmUp();
  let slices = 0;
  while (!warmUp.isOver && slices < 1_000) {
    await warmUp.step();
    slices += 1;
  }
  assert.isTrue(warmUp.isOver);
  assert.isAbove(warmUp.completed, 250);
});
