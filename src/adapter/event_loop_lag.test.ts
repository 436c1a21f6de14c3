import {assert} from 'chai';
import {FakeClock} from '../../test-support/fakes/fake_clock.js';
import {EventLoopLag} from './event_loop_lag.js';

test('an idle event loop reports zero lag, and nothing after the stop', () => {
  const clock = new FakeClock();
  const readings: number[] = [];
  const lag = new EventLoopLag(clock, ms => readings.push(ms));
  lag.start();
  clock.advance(100);
  assert.deepEqual(readings, [0, 0]);
  lag.stop();
  clock.advance(100);
  assert.lengthOf(readings, 2);
});

test('a blocked event loop is reported as lag', () => {
  const start = 1_000;
  let now = start;
  let run: (() => void) | undefined;
  const readings: number[] = [];
  const lag = new EventLoopLag(
    {
      now: () => now,
      elapsed: () => now,
      schedule: (_delay, task) => {
        run = task;
        return {cancel: () => undefined};
      },
      defer: task => task(),
      afterInput: task => task(),
    },
    ms => readings.push(ms),
  );
  lag.start();
  now = start + 250;
  run?.();
  assert.deepEqual(readings, [200]);
});
