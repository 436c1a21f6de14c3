import type {ChildProcess} from 'node:child_process';
import {EventEmitter} from 'node:events';
import {assert} from 'chai';
import type {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import type {UpstreamReport} from '../../../test-support/cluster/upstream_report.js';
import {resultOf} from '../jobs/result_of.js';
import {ProcessHistory} from './process_history.js';

const KEY = 'arbat~1';

type Reporter = Pick<LocalCluster, 'onReport'>;

function setUp(): {history: ProcessHistory; upstreams: Reporter} {
  const history = new ProcessHistory();
  const upstreams: Reporter = {onReport: () => undefined};
  history.watch(upstreams);
  return {history, upstreams};
}

function child(pid: number): ChildProcess {
  return Object.assign(new EventEmitter(), {pid}) as ChildProcess;
}

function submit(history: ProcessHistory, repeatable = false): void {
  history.recordSubmission({key: KEY, body: 'b', tasks: 1, repeatable})();
}

function answer(history: ProcessHistory): void {
  history.recordAnswer(KEY, {
    status: 'cancelled',
    key: KEY,
    reason: 'cancelled by the caller',
    outcome: 'outcome_unknown',
    started: 1,
  });
}

function start(key: string, id: string): UpstreamReport {
  const origin = {key: KEY, body: 'b', task: 0};
  return {start: id, key, task: 0, origin};
}

// Guards against a second start on a lent slot that the check does not detect,
// because it runs under the key of another job.
test('a start on a lent slot counts for the job of the borrowing zone', () => {
  const {history, upstreams} = setUp();
  submit(history);
  answer(history);
  upstreams.onReport(child(1), start(KEY, '7.1'));
  assert.deepEqual(history.check(), []);
  upstreams.onReport(child(2), start('medeu~2', '7.1'));
  assert.include(history.check(), `${KEY}: task 0 was started 2 times`);
});

// Guards against false violations: a killed upstream does not report the end of
// its tasks, so a retry would seem to run at the same time.
test('the end of an upstream process ends its running tasks', () => {
  const {history, upstreams} = setUp();
  submit(history, true);
  answer(history);
  const killed = child(1);
  upstreams.onReport(killed, start(KEY, '7.1'));
  killed.emit('close');
  upstreams.onReport(child(2), start(KEY, '7.2'));
  assert.deepEqual(history.check(), []);
  upstreams.onReport(child(3), start(KEY, '7.3'));
  assert.lengthOf(history.check(), 1);
});

test('a changed answer and a wrong not_run are detected', () => {
  const {history, upstreams} = setUp();
  submit(history);
  const worker = child(1);
  upstreams.onReport(worker, start(KEY, '7.1'));
  upstreams.onReport(worker, {end: '7.1', state: 'succeeded'});
  const results = [resultOf(KEY, 'b', 0)];
  history.recordAnswer(KEY, {status: 'complete', key: KEY, results});
  assert.deepEqual(history.check(), []);
  history.recordAnswer(KEY, {
    status: 'failed',
    key: KEY,
    reason: 'none',
    outcome: 'not_run',
    started: 0,
  });
  const violations = history.check().join('\n');
  assert.include(violations, 'answers differ');
  assert.include(violations, 'answered not_run, but it was started');
});
