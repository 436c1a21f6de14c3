import {assert} from 'chai';
import {checkHistory} from './check_history.js';
import {runSteps} from './run_steps.js';
import type {Step} from './step.js';

const TASK = {ms: 1, mb: 0, fail: false};
const SUBMIT_STRICT = {
  kind: 'submit' as const,
  className: 'strict',
  repeatable: false,
  tasks: [TASK],
};

function assertNoViolations(steps: readonly Step[]): void {
  assert.deepEqual(checkHistory(runSteps(steps)), []);
}

// Guards against a refusal as not run by a deposed leader. It gets another body
// for a key whose first body runs under the new leader.
test('a deposed leader refuses no submission as not run', () => {
  assertNoViolations([
    {
      waitMs: 400,
      action: {
        kind: 'take_over',
        node: 1,
        noticedAfterMs: 1_500,
        keepsProposals: false,
      },
    },
    {waitMs: 3, action: SUBMIT_STRICT},
    {waitMs: 3, action: {kind: 'submit_other_body', job: 0}},
    {waitMs: 3, action: {kind: 'resubmit', job: 0}},
  ]);
});

// Guards against starts on a leaving worker by a new leader that has missed the
// announcement, because it reached only the previous leader.
test('a new leader that missed the announcement starts no task on a leaving worker', () => {
  assertNoViolations([
    {waitMs: 3, action: {kind: 'die', worker: 1}},
    {waitMs: 0, action: {kind: 'leave', worker: 2}},
    {waitMs: 0, action: {kind: 'announce_to_one', worker: 2, node: 0}},
    {waitMs: 494, action: {kind: 'delay_reports', worker: 0, amount: 4_500}},
    {
      waitMs: 3.5,
      action: {
        kind: 'take_over',
        node: 1,
        noticedAfterMs: 0,
        keepsProposals: false,
      },
    },
    {waitMs: 2_000, action: SUBMIT_STRICT},
    {waitMs: 2, action: {kind: 'resubmit', job: 0}},
    {waitMs: 0, action: SUBMIT_STRICT},
  ]);
});

// Guards against a task that runs twice, because its start arrives after later
// messages on another connection.
test('a start that is delayed on another connection does not run twice', () => {
  assertNoViolations([
    {waitMs: 3, action: {kind: 'delay_starts', worker: 0, amount: 4_500}},
    {waitMs: 0, action: SUBMIT_STRICT},
    {waitMs: 10, action: {kind: 'fetch', job: 0}},
  ]);
});

// Guards against a refusal as not run that waits for its commit while a later
// copy of the same submission is accepted: the key of the first copy was ahead
// of the leader's clock, that of the second one no longer is.
test('a refusal that waits for its commit joins a copy accepted meanwhile', () => {
  assertNoViolations([
    {waitMs: 3, action: {kind: 'stall_commits', ms: 1_000}},
    {waitMs: 0, action: {kind: 'submit_aged', offsetMs: 2_500}},
    {waitMs: 600, action: {kind: 'resubmit', job: 0}},
  ]);
});

// As above, with a task that fits no worker until all workers are forgotten.
test('a refusal as unplaceable joins a copy accepted meanwhile', () => {
  const tasks = [{ms: 1, mb: 9_000, fail: false}, TASK];
  assertNoViolations([
    {waitMs: 3, action: {kind: 'all_die'}},
    {waitMs: 0, action: {kind: 'stall_commits', ms: 12_000}},
    {waitMs: 0, action: {...SUBMIT_STRICT, tasks}},
    {waitMs: 8_000, action: {kind: 'resubmit', job: 0}},
    {waitMs: 0, action: {kind: 'restart', worker: 0}},
  ]);
});

// Guards against a fleet that is given no more work after late announcements:
// two workers announce themselves to another member only, the third is cut off.
test('queued jobs are started when silent workers announce themselves again', () => {
  const takeOver = (node: number) => ({
    kind: 'take_over' as const,
    node,
    noticedAfterMs: 0,
    keepsProposals: false,
  });
  const failing = (ms: number) => ({
    ...SUBMIT_STRICT,
    tasks: [{ms, mb: 0, fail: true}],
  });
  assertNoViolations([
    {waitMs: 478, action: {kind: 'announce_to_one', worker: 0, node: 0}},
    {waitMs: 569, action: failing(1)},
    {waitMs: 254, action: takeOver(0)},
    {waitMs: 120, action: {kind: 'cut', worker: 2}},
    {waitMs: 477, action: takeOver(1)},
    {waitMs: 2, action: {kind: 'announce_to_one', worker: 1, node: 0}},
    {waitMs: 0.5, action: failing(1)},
    {waitMs: 565, action: failing(400)},
    {waitMs: 176, action: failing(400)},
    {waitMs: 184, action: failing(1)},
    {waitMs: 175, action: failing(1)},
  ]);
});
