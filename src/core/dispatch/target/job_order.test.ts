import {assert} from 'chai';
import {DispatchBench} from '../../../../test-support/fakes/dispatch_bench.js';
import {StaticConfigSource} from '../../config/static_config_source.js';
import type {QueuedTask} from '../queued_task.js';
import {ClassState} from './class_state.js';
import {JobOrder} from './job_order.js';
import {TenantQuotas} from './tenant_quotas.js';

const SLOTS = 100;
const RUN_MS = 100;
const NOW = 1_000_000;

function order() {
  const config = new StaticConfigSource({version: 1, classes: {}, tenants: {}});
  const jobs = new JobOrder(new TenantQuotas(config));
  jobs.setTotalSlots(SLOTS);
  return jobs;
}

function classWith(targetMs: number): ClassState {
  const state = new ClassState(
    DispatchBench.classOf('c', {target_ms: targetMs}),
  );
  for (let n = 0; n < 100; n += 1) state.runTimes.record(RUN_MS);
  return state;
}

function queue(
  jobs: JobOrder,
  state: ClassState,
  key: string,
  submittedAt: number,
  jobSize = 1,
): void {
  for (let index = 0; index < jobSize; index += 1) {
    const task: QueuedTask = {
      key,
      index,
      className: state.name,
      tenant: 't',
      memoryMb: 0,
      accelerators: 0,
      submittedAt,
      jobSize,
      config: state.config,
      repeatable: false,
      avoid: undefined,
      removed: false,
    };
    state.push(task, () => jobs.getDueTime(jobSize, submittedAt, state));
  }
  jobs.refreshParams(state, NOW);
}

// Guards against serving the earlier job although the other has less slack.
test('the task with the least slack before its target goes first', () => {
  const jobs = order();
  const bulk = classWith(60_000);
  const urgent = classWith(400);
  queue(jobs, bulk, 'early', NOW - 500);
  queue(jobs, urgent, 'late', NOW - 250);
  const early = jobs.selectNext(bulk, 1, NOW)!;
  const late = jobs.selectNext(urgent, 1, NOW)!;
  assert.isBelow(late.urgency, early.urgency);
});

test('of two jobs near their target, the one with less slack is first', () => {
  const jobs = order();
  const tight = classWith(300);
  const loose = classWith(400);
  queue(jobs, loose, 'loose', NOW - 250);
  queue(jobs, tight, 'tight', NOW - 190);
  const first = jobs.selectNext(tight, 1, NOW)!;
  const second = jobs.selectNext(loose, 1, NOW)!;
  assert.isBelow(first.urgency, second.urgency);
});

// A large job completes with its last task and gains little from going first.
test('small jobs overtake an earlier large job of their class', () => {
  const jobs = order();
  const state = classWith(60_000);
  queue(jobs, state, 'large', NOW - 20, 840);
  queue(jobs, state, 'small', NOW);
  assert.equal(jobs.selectNext(state, 1, NOW)?.entry.key, 'small');
});

test('a large job is not overtaken indefinitely', () => {
  const jobs = order();
  const state = classWith(600_000);
  queue(jobs, state, 'large', NOW - 30_000, 840);
  queue(jobs, state, 'small', NOW);
  assert.equal(jobs.selectNext(state, 1, NOW)?.entry.key, 'large');
});
