import {assert} from 'chai';
import {QuantileSketch} from './quantile_sketch.js';

/** Values of several buckets; the sketch has a precision of 10%. */
const VALUES = [10, 10, 20, 40, 80];

function sketchOf(values: readonly number[]): QuantileSketch {
  const sketch = new QuantileSketch(1);
  for (const value of values) sketch.record(value);
  return sketch;
}

// Guards against sums that are kept although values were recorded since.
test('values recorded after a lookup count in the next one', () => {
  const sketch = sketchOf([10, 20]);
  assert.equal(sketch.shareAbove(15), 0.5);
  assert.approximately(sketch.meanAbove(15), 20, 2);
  sketch.record(80);
  sketch.record(80);
  assert.equal(sketch.shareAbove(15), 0.75);
  assert.approximately(sketch.meanAbove(15), 60, 6);
});

test('values in the bucket of the argument are not above it', () => {
  const sketch = sketchOf(VALUES);
  assert.equal(sketch.shareAbove(10), 0.6);
  assert.equal(sketch.shareAbove(80), 0);
  assert.equal(sketch.meanAbove(80), 80);
});

test('an argument below all values has all of them above it', () => {
  const sketch = sketchOf(VALUES);
  assert.equal(sketch.shareAbove(0), 1);
  assert.approximately(sketch.meanAbove(0), 32, 3);
});

// Guards against sums that are kept although the counts were halved since.
test('shares and means hold while old values lose weight', () => {
  const sketch = new QuantileSketch(1);
  for (let n = 0; n < 5_000; n += 1) {
    sketch.record(VALUES[n % VALUES.length]!);
    assert.isAtMost(sketch.shareAbove(0), 1);
  }
  assert.approximately(sketch.shareAbove(10), 0.6, 0.01);
  assert.approximately(sketch.meanAbove(30), 60, 6);
});

test('an empty sketch has its default value and nothing above it', () => {
  const sketch = new QuantileSketch(7);
  assert.equal(sketch.quantile(0.5), 7);
  assert.equal(sketch.shareAbove(1), 0);
  assert.equal(sketch.meanAbove(3), 3);
});
