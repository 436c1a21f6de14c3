import * as fc from 'fast-check';
import type {ZoneStep} from './zone_step.js';

const MAX_STEPS = 9;
const CORES = 6;
const ZONES = 3;

const waitMs = fc.oneof(
  fc.integer({min: 0, max: 100}),
  fc.integer({min: 100, max: 1_500}),
);
const forMs = fc.oneof(
  fc.integer({min: 50, max: 1_200}),
  fc.integer({min: 1_200, max: 5_000}),
);
const core = fc.nat({max: CORES - 1});

const fault = fc.record({
  kind: fc.constantFrom(
    'kill' as const,
    'suspend' as const,
    'suspend' as const,
    'drain' as const,
    'cut_entries' as const,
  ),
  waitMs,
  core,
  forMs,
});
const cutZone = fc.record({
  kind: fc.constant('cut_zone' as const),
  waitMs,
  zone: fc.nat({max: ZONES - 1}),
  forMs,
});
const cutCores = fc.record({
  kind: fc.constant('cut_cores' as const),
  waitMs,
  core,
  other: core,
  forMs,
});
const cutWorkers = fc.record({
  kind: fc.constant('cut_workers' as const),
  waitMs,
  core,
  parity: fc.nat({max: 1}),
  forMs,
});

const burst = fc.record({
  kind: fc.constant('burst' as const),
  waitMs: fc.integer({min: 0, max: 300}),
  zone: fc.nat({max: ZONES - 1}),
  jobs: fc.integer({min: 15, max: 60}),
});

/** Generates the faults and the bursts of a history. */
export const zoneStepsArbitrary: fc.Arbitrary<ZoneStep[]> = fc.array(
  fc.oneof(
    {weight: 4, arbitrary: fault},
    {weight: 2, arbitrary: cutZone},
    {weight: 1, arbitrary: cutCores},
    {weight: 2, arbitrary: cutWorkers},
    {weight: 4, arbitrary: burst},
  ),
  {minLength: 1, maxLength: MAX_STEPS},
);
