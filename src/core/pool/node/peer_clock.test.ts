import {assert} from 'chai';
import {PeerClock} from './peer_clock.js';

test('the estimate of a clock is not ahead of it, however late messages are', () => {
  const clock = new PeerClock();
  const leadMs = 5_000;
  for (const delayMs of [80, 3, 400, 0, 900]) {
    for (let at = 0; at < 2_000; at += 100) {
      clock.record(at + leadMs, at + delayMs);
      assert.isAtMost(clock.read(at + delayMs), at + delayMs + leadMs);
    }
  }
});

test('a late message does not set the estimate back', () => {
  const clock = new PeerClock();
  clock.record(5_000, 1);
  clock.record(5_100, 301);
  assert.equal(clock.read(301), 5_300);
});

test('a clock that starts anew is followed at once', () => {
  const clock = new PeerClock();
  clock.record(100_000, 1);
  clock.record(5_000, 201);
  assert.equal(clock.read(211), 5_010);
});

test('a clock that is set forward is followed at once', () => {
  const clock = new PeerClock();
  clock.record(5_000, 1);
  clock.record(100_000, 201);
  assert.equal(clock.read(211), 100_010);
});
