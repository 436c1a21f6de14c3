import {assert} from 'chai';
import {LinearFit} from './linear_fit.js';

test('a linear fit gives the slope, the intercept and the standard error', () => {
  const exact = new LinearFit([
    [0, 1],
    [1, 3],
    [2, 5],
  ]);
  assert.closeTo(exact.slope, 2, 1e-9);
  assert.closeTo(exact.intercept, 1, 1e-9);
  assert.closeTo(exact.error, 0, 1e-9);
  const noisy = new LinearFit([
    [0, 0],
    [1, 3],
    [2, 2],
    [3, 5],
  ]);
  assert.isAbove(noisy.error, 0.1);
});
