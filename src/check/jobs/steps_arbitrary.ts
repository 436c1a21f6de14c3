import * as fc from 'fast-check';
import type {Step} from './step.js';

const WORKERS = 3;
const MEMBERS = 3;
const MAX_JOBS = 8;
const MAX_STEPS = 24;

const worker = fc.nat({max: WORKERS - 1});
const job = fc.nat({max: MAX_JOBS - 1});

const task = fc.record({
  ms: fc.oneof(
    {weight: 4, arbitrary: fc.integer({min: 1, max: 400})},
    {weight: 1, arbitrary: fc.integer({min: 400, max: 4_000})},
  ),
  // Only one worker has 2,000 MB, and none has 9,000 MB.
  mb: fc.constantFrom(0, 0, 400, 700, 2_000, 9_000),
  fail: fc.nat({max: 9}).map(n => n === 0),
});

const submit = fc.record({
  kind: fc.constant('submit' as const),
  className: fc.constantFrom('strict', 'repeat', 'repeat', 'missing'),
  repeatable: fc.nat({max: 3}).map(n => n > 0),
  tasks: fc.array(task, {minLength: 1, maxLength: 5}),
});

const jobStep = fc.record({
  kind: fc.constantFrom(
    'resubmit' as const,
    'resubmit' as const,
    'submit_other_body' as const,
    'cancel' as const,
    'cancel_then_submit' as const,
    'submit_then_cancel' as const,
    'fetch' as const,
    'acknowledge' as const,
  ),
  job,
});

const agedSubmit = fc.record({
  kind: fc.constant('submit_aged' as const),
  offsetMs: fc.constantFrom(-700_000, -20_000, -1_000, 1_500, 2_500, 60_000),
});

const workerStep = fc.record({
  kind: fc.constantFrom(
    'die' as const,
    'restart' as const,
    'cut' as const,
    'deafen' as const,
    'mute' as const,
    'heal' as const,
    'heal' as const,
    'fail_all' as const,
    'refuse_all' as const,
    'leave' as const,
    'repeat_reports' as const,
    'restart_then_late_announcement' as const,
    'late_announcement' as const,
    'lie_about_usage' as const,
  ),
  worker,
});

const delayStep = fc.record({
  kind: fc.constantFrom(
    'straggle' as const,
    'delay_starts' as const,
    'delay_reports' as const,
  ),
  worker,
  amount: fc.constantFrom(2, 300, 1_500, 2_600, 4_500),
});

const takeOver = fc.record({
  kind: fc.constant('take_over' as const),
  node: fc.nat({max: MEMBERS - 1}),
  noticedAfterMs: fc.constantFrom(0, 5, 500, 1_500),
  keepsProposals: fc.boolean(),
});

const announceToOne = fc.record({
  kind: fc.constant('announce_to_one' as const),
  worker,
  node: fc.nat({max: MEMBERS - 1}),
});

const zoneStep = fc.oneof(
  fc.constant({kind: 'all_die' as const}),
  fc.record({
    kind: fc.constant('stall_commits' as const),
    ms: fc.constantFrom(20, 1_000, 3_500),
  }),
  fc.constant({kind: 'lose_memory' as const}),
  fc.constant({kind: 'delete_class' as const}),
  fc.constant({kind: 'pass_retention' as const}),
);

const waitMs = fc.oneof(
  {weight: 3, arbitrary: fc.constantFrom(0, 0.5, 1, 1.5, 2)},
  {weight: 3, arbitrary: fc.integer({min: 3, max: 400})},
  {weight: 1, arbitrary: fc.integer({min: 400, max: 4_000})},
);

/** Generates interleavings of requests and faults. */
export const stepsArbitrary: fc.Arbitrary<Step[]> = fc.array(
  fc.record({
    waitMs,
    action: fc.oneof(
      {weight: 7, arbitrary: submit},
      {weight: 7, arbitrary: jobStep},
      {weight: 1, arbitrary: agedSubmit},
      {weight: 8, arbitrary: workerStep},
      {weight: 3, arbitrary: delayStep},
      {weight: 3, arbitrary: takeOver},
      {weight: 1, arbitrary: announceToOne},
      {weight: 1, arbitrary: zoneStep},
    ),
  }),
  {minLength: 1, maxLength: MAX_STEPS, size: 'max'},
);
