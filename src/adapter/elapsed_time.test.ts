import {assert} from 'chai';
import {ElapsedTime} from './elapsed_time.js';

function createTime() {
  const sources = {steadyMs: 1_000, systemMs: 50_000};
  const time = new ElapsedTime({
    steady: () => sources.steadyMs,
    system: () => sources.systemMs,
  });
  const pass = (steadyMs: number, systemMs = steadyMs) => {
    sources.steadyMs += steadyMs;
    sources.systemMs += systemMs;
  };
  return {time, pass};
}

// Orders that were on their way during a suspension must not look new.
test('a suspension counts as elapsed time', () => {
  const {time, pass} = createTime();
  const before = time.now();
  pass(100, 4_100);
  assert.equal(time.now() - before, 4_100);
  pass(100);
  assert.equal(time.now() - before, 4_200);
});

test('elapsed time does not go back with the system time', () => {
  const {time, pass} = createTime();
  const before = time.now();
  pass(100, -60_000);
  assert.equal(time.now() - before, 100);
  pass(100);
  assert.equal(time.now() - before, 200);
});

test('small adjustments of the system time do not add up', () => {
  const {time, pass} = createTime();
  const before = time.now();
  for (let n = 0; n < 1_000; n += 1) {
    pass(100, 101);
    time.now();
  }
  assert.equal(time.now() - before, 100_000);
});
