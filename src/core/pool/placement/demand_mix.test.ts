import {assert} from 'chai';
import {DemandMix} from './demand_mix.js';

function mixOf(...cpus: readonly number[]): DemandMix {
  const mix = new DemandMix();
  for (let n = 0; n < 32; n += 1) for (const cpu of cpus) mix.record(cpu);
  return mix;
}

// With 8 of 16 cores left, another usual task fits; with 4 left, none.
test('room that a usual task can use costs more than room that none can', () => {
  const mix = mixOf(8_000, 8_000, 8_000, 12_000);
  const half = mix.lostRoom(8_000, 8_000);
  const whole = mix.lostRoom(16_000, 8_000);
  assert.isBelow(half, whole);
  assert.isAbove(mix.lostRoom(16_000, 12_000), mix.lostRoom(12_000, 12_000));
});

// Demands may differ with each job; the mix must not grow with them.
test('the number of sizes is limited', () => {
  const mix = new DemandMix();
  for (let n = 1; n < 5_000; n += 1) mix.record(n);
  assert.isAtMost(mix.sizes.length, 6);
});
