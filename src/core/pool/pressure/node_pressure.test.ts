import {assert} from 'chai';
import {NodePressure} from './node_pressure.js';

const TICK_MS = 50;

function pressureAfter(
  ms: number,
  pressure: NodePressure,
  sample: {readonly usedMs: number; readonly delayMs: number},
): number {
  for (let passed = 0; passed < ms; passed += TICK_MS) {
    pressure.record({elapsedMs: TICK_MS, ...sample});
  }
  return pressure.value;
}

// Entry nodes differ three to one in their share; the same use fills a small one.
test('the use of the processor counts relative to the share of the node', () => {
  const sample = {usedMs: 12, delayMs: 0};
  const small = pressureAfter(5_000, new NodePressure(0.243), sample);
  const large = pressureAfter(5_000, new NodePressure(0.81), sample);
  assert.approximately(small, 0.99, 0.02);
  assert.approximately(large, 0.3, 0.02);
});

// Another process of the machine may take the processor: use stays low, and
// requests wait all the same.
test('late timers are pressure although the processor is little used', () => {
  const sample = {usedMs: 5, delayMs: 55};
  assert.isAbove(pressureAfter(5_000, new NodePressure(1), sample), 0.85);
});

// A collection of garbage must not withdraw a node.
test('one late timer is little pressure', () => {
  const pressure = new NodePressure(1);
  pressureAfter(5_000, pressure, {usedMs: 5, delayMs: 1});
  pressure.record({elapsedMs: TICK_MS, usedMs: TICK_MS, delayMs: 150});
  assert.isBelow(pressure.value, 0.3);
});

test('pressure falls when the load has gone', () => {
  const pressure = new NodePressure(1);
  assert.equal(pressureAfter(9_000, pressure, {usedMs: 90, delayMs: 0}), 1);
  assert.isBelow(pressureAfter(3_000, pressure, {usedMs: 5, delayMs: 0}), 0.2);
});
