import {assert} from 'chai';
import {TickGaps} from './tick_gaps.js';

const TICK_MS = 20;

function recordCalm(gaps: TickGaps, ms: number): void {
  for (let at = 0; at < ms; at += TICK_MS) gaps.record(TICK_MS);
}

// A suspension must not hold back elections long after it.
test('one long gap is forgotten within seconds', () => {
  const gaps = new TickGaps();
  recordCalm(gaps, 10_000);
  assert.closeTo(gaps.meanMs, TICK_MS, 0.1);
  gaps.record(8_000);
  recordCalm(gaps, 10_000);
  assert.isBelow(gaps.meanMs, 100);
});

test('repeated gaps count although most ticks are in time', () => {
  const gaps = new TickGaps();
  for (let n = 0; n < 10; n += 1) {
    recordCalm(gaps, 500);
    gaps.record(500);
  }
  assert.isAbove(gaps.meanMs, 200);
});
