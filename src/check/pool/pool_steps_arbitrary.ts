import * as fc from 'fast-check';
import type {PoolStep} from './pool_step.js';

const MAX_STEPS = 20;
const MAX_WORKERS = 6;

const waitMs = fc.oneof(
  fc.integer({min: 0, max: 60}),
  fc.integer({min: 60, max: 1_500}),
);
const worker = fc.nat({max: MAX_WORKERS - 1});

const submit = fc.record({
  kind: fc.constant('submit' as const),
  waitMs,
  tasks: fc.integer({min: 1, max: 4}),
  runMs: fc.oneof(
    {weight: 4, arbitrary: fc.integer({min: 30, max: 1_200})},
    {weight: 1, arbitrary: fc.integer({min: 1_200, max: 5_000})},
  ),
  isDeadly: fc.nat({max: 2}).map(n => n === 0),
});
const crash = fc.record({
  kind: fc.constantFrom('crash' as const, 'power_loss' as const),
  waitMs,
  worker,
});
const cut = fc.record({
  kind: fc.constant('cut' as const),
  waitMs,
  worker,
  forMs: fc.integer({min: 100, max: 4_000}),
});
const loseStops = fc.record({
  kind: fc.constant('lose_stops' as const),
  waitMs,
  forMs: fc.integer({min: 500, max: 4_000}),
});
const resize = fc.record({
  kind: fc.constant('resize' as const),
  waitMs,
  worker,
  tasks: fc.integer({min: 0, max: 3}),
});
const takeOver = fc.record({
  kind: fc.constant('take_over' as const),
  waitMs,
  leaves: fc.nat({max: 3}),
});
const resubmit = fc.record({
  kind: fc.constant('resubmit' as const),
  waitMs,
  job: fc.nat({max: MAX_STEPS - 1}),
});
const reconnect = fc.record({
  kind: fc.constant('reconnect' as const),
  waitMs,
  job: fc.nat({max: MAX_STEPS - 1}),
});

/** Generates the steps of a history. */
export const poolStepsArbitrary: fc.Arbitrary<PoolStep[]> = fc.array(
  fc.oneof(
    {weight: 5, arbitrary: submit},
    {weight: 1, arbitrary: crash},
    {weight: 2, arbitrary: cut},
    {weight: 1, arbitrary: loseStops},
    {weight: 2, arbitrary: resize},
    {weight: 1, arbitrary: takeOver},
    {weight: 1, arbitrary: resubmit},
    {weight: 4, arbitrary: reconnect},
  ),
  {minLength: 1, maxLength: MAX_STEPS},
);
