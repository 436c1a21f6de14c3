import {assert} from 'chai';
import type {JobEvent} from './job_event.js';
import type {JobSpec} from './job_spec.js';
import {JobTable} from './job_table.js';

const SPEC: JobSpec = {
  key: 'k',
  keyTimeMs: 0,
  className: 'default',
  tenant: 'default',
  repeatable: false,
  tasks: [{payload: 'large'}, {payload: 'large'}],
  fingerprint: 'f',
  submittedAt: 0,
};

function intent(task: number): JobEvent {
  const attempt = `1.${task}`;
  return {
    kind: 'intent',
    key: 'k',
    task,
    attempt,
    worker: 'w',
    incarnation: 'i',
  };
}

function success(task: number): JobEvent {
  return {
    kind: 'settled',
    key: 'k',
    task,
    attempt: `1.${task}`,
    worker: 'w',
    outcome: {kind: 'succeeded', result: task},
    final: true,
    at: 1,
  };
}

function tableAfter(...events: JobEvent[]): JobTable {
  const table = new JobTable();
  table.apply({kind: 'accepted', job: SPEC});
  for (const event of events) table.apply(event);
  return table;
}

// Guards against payloads and task records that stay in the memory of every
// member until the retention of the job ends.
test('an ended job keeps its result and drops its tasks', () => {
  const table = tableAfter(intent(0), intent(1), success(1), success(0));
  const job = table.get('k')!;
  assert.deepEqual(table.answer(job), {
    status: 'complete',
    key: 'k',
    results: [0, 1],
  });
  assert.lengthOf(job.tasks, 0);
  assert.lengthOf(job.spec.tasks, 0);
});

// Guards against an open attempt that a new leader could no longer settle.
test('an ended job keeps its tasks while an attempt is in progress', () => {
  const cancelled: JobEvent = {kind: 'cancelled', key: 'k', at: 1};
  const table = tableAfter(intent(0), intent(1), success(0), cancelled);
  const job = table.get('k')!;
  assert.lengthOf(job.tasks, 2);
  const before = table.answer(job);
  table.apply(success(1));
  assert.lengthOf(job.tasks, 0);
  assert.deepEqual(table.answer(job), before);
});
