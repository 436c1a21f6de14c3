import * as fc from 'fast-check';
import type {ZoneStep} from './zone_step.js';

const MAX_STEPS = 9;
/** Time for which faults go on that begin before a loss of all core nodes. */
const OUTAGE_MS = 4_000;
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

const entry = fc.nat({max: 8});
const entryFault = fc.record({
  kind: fc.constantFrom(
    'kill_entry' as const,
    'kill_entry' as const,
    'suspend_entry' as const,
    'cut_entry' as const,
  ),
  waitMs,
  entry,
  forMs,
});
const disconnect = fc.record({
  kind: fc.constant('disconnect' as const),
  waitMs,
  entry,
  isAll: fc.boolean(),
});
const cutOneWay = fc.record({
  kind: fc.constant('cut_one_way' as const),
  waitMs,
  zone: fc.nat({max: ZONES - 1}),
  isOutward: fc.boolean(),
  // Connections deliver in one direction only until their windows are full.
  forMs: fc.integer({min: 50, max: 2_000}),
});
const starve = fc.record({
  kind: fc.constant('starve' as const),
  waitMs,
  isCore: fc.boolean(),
  node: entry,
  lagMs: fc.integer({min: 40, max: 450}),
  forMs,
});
const suspendMachine = fc.record({
  kind: fc.constant('suspend_machine' as const),
  waitMs,
  isCore: fc.boolean(),
  node: entry,
  forMs: fc.integer({min: 100, max: 1_700}),
});
const slowLink = fc.record({
  kind: fc.constant('slow_link' as const),
  waitMs,
  core,
  delayMs: fc.integer({min: 20, max: 450}),
  forMs,
});
const faultyOrders = fc.record({
  kind: fc.constant('faulty_orders' as const),
  waitMs,
  fault: fc.constantFrom(
    'order_lost' as const,
    'answer_lost' as const,
    'late' as const,
  ),
  every: fc.integer({min: 2, max: 30}),
  lateMs: fc.integer({min: 50, max: 4_000}),
  forMs,
});
const crashWorkers = fc.record({
  kind: fc.constant('crash_workers' as const),
  waitMs,
  every: fc.integer({min: 1, max: 12}),
});

const someZone = fc.option(fc.nat({max: ZONES - 1}));
const loseMessages = fc.record({
  kind: fc.constant('lose_messages' as const),
  waitMs,
  message: fc.constantFrom(
    'drop' as const,
    'drop' as const,
    'drop' as const,
    'drop' as const,
    'answer' as const,
    'book' as const,
    'redirect' as const,
    'unclear' as const,
    'unknown' as const,
    'poll' as const,
    'submit' as const,
  ),
  every: fc.integer({min: 1, max: 3}),
  forMs,
});
const loseOrders = fc
  .record({
    waitMs,
    order: fc.constantFrom(
      {call: 'stop', fault: 'order_lost'} as const,
      {call: 'stop', fault: 'order_lost'} as const,
      {call: 'stop', fault: 'answer_lost'} as const,
      {call: 'start', fault: 'answer_lost'} as const,
      {call: 'look', fault: 'answer_lost'} as const,
    ),
    zone: someZone,
    forMs,
  })
  .map(({order, ...step}) => ({
    kind: 'lose_orders' as const,
    ...step,
    ...order,
  }));
const backlog = fc.record({
  kind: fc.constant('backlog' as const),
  waitMs,
  isCore: fc.boolean(),
  node: entry,
  delayMs: fc.integer({min: 100, max: 900}),
  forMs: fc.integer({min: 1_000, max: 5_000}),
});
/** A backlog of the entry node that acts as the fallback of a zone. */
const fallbackBacklog = fc.record({
  kind: fc.constant('backlog' as const),
  waitMs,
  isCore: fc.constant(false),
  node: fc.nat({max: ZONES - 1}),
  delayMs: fc.integer({min: 300, max: 900}),
  forMs: fc.integer({min: 1_000, max: 5_000}),
});
const loseCores = fc.record({
  kind: fc.constant('lose_cores' as const),
  waitMs,
  forMs: fc.integer({min: 2_500, max: 6_000}),
  zone: someZone,
});

const burst = fc.record({
  kind: fc.constant('burst' as const),
  waitMs: fc.integer({min: 0, max: 300}),
  zone: fc.nat({max: ZONES - 1}),
  jobs: fc.integer({min: 15, max: 60}),
});

const zoneSteps = [
  {weight: 4, arbitrary: fault},
  {weight: 2, arbitrary: cutZone},
  {weight: 1, arbitrary: cutCores},
  {weight: 2, arbitrary: cutWorkers},
  {weight: 4, arbitrary: burst},
  {weight: 3, arbitrary: disconnect},
  {weight: 2, arbitrary: entryFault},
  {weight: 4, arbitrary: loseMessages},
  {weight: 3, arbitrary: loseOrders},
  {weight: 4, arbitrary: backlog},
  {weight: 3, arbitrary: suspendMachine},
  {weight: 4, arbitrary: loseCores},
];
const nodeSteps = [
  {weight: 2, arbitrary: entryFault},
  {weight: 2, arbitrary: cutOneWay},
  {weight: 4, arbitrary: starve},
  {weight: 1, arbitrary: slowLink},
  {weight: 3, arbitrary: faultyOrders},
  {weight: 1, arbitrary: crashWorkers},
];

/**
 * A loss of all core nodes under faults of messages, with connections that break
 * before and after the return of the core nodes.
 */
const outage = fc
  .tuple(
    fc.array(fc.oneof(fallbackBacklog, loseMessages, loseOrders), {
      minLength: 1,
      maxLength: 4,
    }),
    loseCores,
    fc.array(
      fc.oneof(
        {weight: 6, arbitrary: disconnect},
        {weight: 2, arbitrary: entryFault},
        {weight: 1, arbitrary: backlog},
        {weight: 1, arbitrary: loseMessages},
        {weight: 1, arbitrary: loseOrders},
      ),
      {minLength: 1, maxLength: MAX_STEPS},
    ),
  )
  .map(([before, loss, after]) => [
    ...before.map(step => ({...step, forMs: step.forMs + OUTAGE_MS})),
    loss,
    ...after,
  ]);

function createArbitrary(
  steps: Array<{weight: number; arbitrary: fc.Arbitrary<ZoneStep>}>,
): fc.Arbitrary<ZoneStep[]> {
  const ordinary = fc.array(fc.oneof(...steps), {
    minLength: 1,
    maxLength: MAX_STEPS,
  });
  return fc.oneof(ordinary, outage);
}

/** Generates the faults and the bursts of a history. */
export const zoneStepsArbitrary: Readonly<
  Record<'zones' | 'leader', fc.Arbitrary<ZoneStep[]>>
> = {
  zones: createArbitrary(zoneSteps),
  leader: createArbitrary([...zoneSteps, ...nodeSteps]),
};
