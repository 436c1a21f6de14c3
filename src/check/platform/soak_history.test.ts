import {assert} from 'chai';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
import {EmulatedJob} from '../../platform/emulator/emulated_job.js';
import {EmulatedWorker} from '../../platform/emulator/emulated_worker.js';
import {SoakHistory} from './soak_history.js';

const STEP = {tasks: 1, cpu: 1_000, memoryMb: 1, runMs: 300};
const LEASE_MS = 200;

function createBench() {
  const clock = new FakeClock();
  const bootedAt = clock.now();
  const history = new SoakHistory(bootedAt);
  const job = new EmulatedJob('5c0e7a21d94b36f8', [STEP, STEP]);
  const record = history.add(job);
  const createWorker = (id: string) =>
    new EmulatedWorker({
      ...{clock, id, bornAt: 1, zone: 'z', cpu: 1_500, memoryMb: 10},
      guardsCapacity: false,
      clockRate: 1,
      onStart: run => history.onStart(run),
    });
  const start = (worker: EmulatedWorker, step: number, run: number) =>
    worker.start(
      {
        task: job.tasks[step]!,
        run,
        spec: JSON.stringify(job.steps),
        deadline_ms: clock.now() - bootedAt + LEASE_MS,
        fencing_token: 1,
      },
      false,
    );
  const rules = () => history.violations.map(text => text.split(':')[0]);
  return {clock, history, record, createWorker, start, rules};
}

// Guards against a soak that passes because it does not notice violations.
test('a second run of a task is reported only while the first one runs', () => {
  const {clock, createWorker, start, rules} = createBench();
  const [a, b] = [createWorker('a'), createWorker('b')];
  assert.isUndefined(start(a, 0, 1));
  clock.advance(LEASE_MS);
  assert.isUndefined(start(b, 0, 2));
  assert.deepEqual(rules(), []);
  assert.isUndefined(start(a, 0, 3));
  assert.deepEqual(rules(), ['TWICE']);
});

test('a start beyond the capacity of a worker is reported', () => {
  const {createWorker, start, rules} = createBench();
  const worker = createWorker('a');
  start(worker, 0, 1);
  assert.deepEqual(rules(), []);
  start(worker, 1, 1);
  assert.deepEqual(rules(), ['LIMIT']);
});

test('a refused job that runs is reported, an unclear one is not', () => {
  const {history, record, createWorker, start, rules} = createBench();
  const attempt = {entry: 'e', sentAt: 0, endedAt: 1};
  record.attempts.push({...attempt, outcome: 504}, {...attempt, outcome: 503});
  start(createWorker('a'), 0, 1);
  assert.deepEqual(rules(), []);
  record.attempts.shift();
  history.onReply(record, record.attempts[0]!, undefined);
  assert.deepEqual(rules(), ['REFUSED']);
});

test('a job that is completed before its last task is reported', () => {
  const {clock, history, record, createWorker, start, rules} = createBench();
  const worker = createWorker('a');
  start(worker, 0, 1);
  worker.hold({fencing_token: 1, acked_upto: 0, deadline_ms: 900});
  clock.advance(STEP.runMs);
  const attempt = {entry: 'e', sentAt: 0, endedAt: 1, outcome: 200};
  record.attempts.push(attempt);
  history.onReply(record, attempt, 'completed');
  assert.deepEqual(rules(), ['MIXED']);
});
