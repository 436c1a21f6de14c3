import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {assert} from 'chai';
import {Result} from 'true-myth';
import {CliBench} from '../../test-support/fakes/cli_bench.js';
import type {JobAnswer} from '../core/job/job_answer.js';
import type {Refusal} from '../core/job/refusal.js';
import {RunOutcome} from '../core/job/run_outcome.js';
import {ExitCode} from './exit_code.js';

let bench: CliBench;
setup(async () => {
  bench = await CliBench.start();
});
teardown(() => bench.stop());

const TASK = ['submit', '--class', 'default', '--task', '{"ms":1}'];
const KEY = '01900000-0000-7000-8000-000000000000';

function answerWith(answer: Partial<JobAnswer> & {status: string}): void {
  bench.caller.answer = ({key}) =>
    Result.ok({key, reason: 'r', started: 1, ...answer} as JobAnswer);
}

function refuseWith(code: Refusal['code'], outcome: RunOutcome): void {
  bench.caller.answer = () => Result.err({code, outcome, detail: 'why'});
}

test('submit prints the results and exits with success', async () => {
  answerWith({status: 'complete', results: [1, {a: 2}]});
  const {code, out} = await bench.run(...TASK, '--tenant', 't1');
  assert.equal(code, ExitCode.success);
  assert.match(out, /^arbat~[0-9a-f-]{36} complete\n1\n\{"a":2\}\n$/);
  const [submit] = bench.caller.routed;
  assert.equal(submit?.kind, 'submit');
  if (submit?.kind !== 'submit') return;
  assert.equal(submit.spec.tenant, 't1');
  assert.deepEqual(submit.spec.tasks, [{payload: {ms: 1}}]);
});

test('submit exits by the status and outcome of the job', async () => {
  const {notRun, failed, unknown} = RunOutcome;
  const cases: ReadonlyArray<readonly [Partial<JobAnswer>, number]> = [
    [{status: 'failed', outcome: failed}, ExitCode.jobFailed],
    [{status: 'failed', outcome: notRun}, ExitCode.notRun],
    [{status: 'failed', outcome: unknown}, ExitCode.outcomeUnknown],
    [{status: 'cancelled', outcome: notRun}, ExitCode.jobFailed],
  ];
  for (const [answer, expected] of cases) {
    answerWith(answer as JobAnswer);
    const {code} = await bench.run(...TASK, '--json');
    assert.equal(code, expected, JSON.stringify(answer));
  }
});

test('the exit code of a refused submission follows its outcome', async () => {
  refuseWith('overloaded', RunOutcome.notRun);
  const {code, err} = await bench.run(...TASK);
  assert.equal(code, ExitCode.notRun);
  assert.match(err, /refused \(429 overloaded\): why; not_run/);
  refuseWith('expired', RunOutcome.unknown);
  assert.equal((await bench.run(...TASK)).code, ExitCode.outcomeUnknown);
});

test('submit reads tasks from a file or from stdin', async () => {
  const file = join(bench.dir, 'tasks.json');
  writeFileSync(file, '[{"payload":1},{"payload":2}]');
  await bench.run('submit', '--class', 'default', file);
  bench.stdin = '{"class":"default","tasks":[{"payload":3}]}';
  await bench.run('submit');
  const tasks = bench.caller.routed.map(req =>
    req.kind === 'submit' ? req.spec.tasks : [],
  );
  assert.deepEqual(tasks, [[{payload: 1}, {payload: 2}], [{payload: 3}]]);
});

test('an invalid command line or file is a usage error', async () => {
  bench.stdin = '{';
  for (const args of [
    ['submit'],
    ['submit', join(bench.dir, 'absent.json')],
    ['fetch'],
    ['fetch', KEY, '--entry', 'nonsense'],
    ['explode'],
    ['status', '--token-file', join(bench.dir, 'absent')],
  ]) {
    const {code, err} = await bench.run(...args);
    assert.equal(code, ExitCode.usage, args.join(' '));
    assert.isNotEmpty(err);
  }
  assert.isEmpty(bench.caller.routed);
});

test('submit fetches the job by its key after a connection error', async () => {
  let isBroken = true;
  bench.caller.answer = req => {
    if (isBroken) {
      isBroken = false;
      return Result.err({
        code: 'unreachable',
        outcome: RunOutcome.unknown,
        detail: 'zone unreachable',
      });
    }
    return Result.ok({status: 'complete', key: req.key, results: [5]});
  };
  const {code, out, err} = await bench.run(...TASK);
  assert.equal(code, ExitCode.success);
  assert.match(out, /complete\n5\n/);
  assert.match(err, /zone unreachable; retrying/);
  const kinds = bench.caller.routed.map(req => req.kind);
  assert.deepEqual(kinds, ['submit', 'fetch']);
  const keys = new Set(bench.caller.routed.map(req => req.key));
  assert.equal(keys.size, 1);
});

test('submit resends a job that the daemon did not receive, once', async () => {
  const replies: Refusal['code'][] = ['unreachable', 'not_found'];
  bench.caller.answer = ({key}) => {
    const code = replies.shift();
    return code
      ? Result.err({code, outcome: RunOutcome.unknown, detail: 'x'})
      : Result.ok({status: 'complete', key, results: []});
  };
  assert.equal((await bench.run(...TASK)).code, ExitCode.success);
  const kinds = bench.caller.routed.map(req => req.kind);
  assert.deepEqual(kinds, ['submit', 'fetch', 'submit']);
});

test('a refusal after a lost response leaves the outcome unknown', async () => {
  const replies: Refusal[] = [
    {code: 'unreachable', outcome: RunOutcome.unknown, detail: 'x'},
    {code: 'not_found', outcome: RunOutcome.unknown, detail: 'x'},
    {code: 'overloaded', outcome: RunOutcome.notRun, detail: 'x'},
  ];
  bench.caller.answer = () => Result.err(replies.shift()!);
  assert.equal((await bench.run(...TASK)).code, ExitCode.outcomeUnknown);
});

test('a job with cancel-on-disconnect is polled by submissions', async () => {
  let calls = 0;
  bench.caller.answer = ({key}) => {
    calls += 1;
    return calls === 1
      ? Result.ok({status: 'running', key, done: 0, total: 1})
      : Result.ok({status: 'complete', key, results: []});
  };
  await bench.run(...TASK, '--cancel-on-disconnect');
  const kinds = bench.caller.routed.map(req => req.kind);
  assert.deepEqual(kinds, ['submit', 'submit']);
});

test('submit prints progress on a terminal only', async () => {
  bench.isTerminal = true;
  let calls = 0;
  bench.caller.answer = ({key}) => {
    calls += 1;
    return calls === 1
      ? Result.ok({status: 'running', key, done: 3, total: 8})
      : Result.ok({status: 'complete', key, results: []});
  };
  const {err} = await bench.run(...TASK);
  assert.match(err, /3 of 8 tasks done/);
  bench.isTerminal = false;
  calls = 0;
  assert.isEmpty((await bench.run(...TASK)).err);
});

test('submit --no-wait returns as soon as the job is accepted', async () => {
  bench.caller.answer = ({key}) =>
    Result.ok({status: 'running', key, done: 0, total: 1});
  const {code, out} = await bench.run(...TASK, '--no-wait');
  assert.equal(code, ExitCode.success);
  assert.match(out, /running: 0 of 1 tasks done/);
});

test('a refused connection is not reported as an unknown outcome', async () => {
  const nowhere = 'http://127.0.0.1:1';
  const job = await bench.run(...TASK, '--entry', nowhere);
  assert.equal(job.code, ExitCode.cannotConnect);
  const cancel = await bench.run('cancel', KEY, '--entry', nowhere);
  assert.equal(cancel.code, ExitCode.cannotConnect);
  const change = await bench.run('class', 'set', 'a', '--admin', nowhere);
  assert.equal(change.code, ExitCode.cannotConnect);
});

test('cancel exits with success when the job is cancelled', async () => {
  answerWith({status: 'cancelled', outcome: RunOutcome.notRun});
  const {code, out} = await bench.run('cancel', KEY);
  assert.equal(code, ExitCode.success);
  assert.match(out, /cancelled/);
});

test('key new prints a key and ack acknowledges the job', async () => {
  const key = await bench.run('key', 'new');
  assert.match(key.out, /^arbat~[0-9a-f-]{36}\n$/);
  const ack = await bench.run('ack', key.out.trim());
  assert.equal(ack.code, ExitCode.success);
  assert.equal(bench.caller.routed[0]?.kind, 'acknowledge');
});

test('class set keeps the values that are not given', async () => {
  await bench.run('class', 'set', 'render', '--target-ms', '500');
  const {code, out} = await bench.run('class', 'set', 'render', '--repeatable');
  assert.equal(code, ExitCode.success);
  assert.equal(out, 'version 3\n');
  const got = await bench.run('class', 'get', 'render', '--json');
  assert.include(JSON.parse(got.out), {
    version: 3,
    name: 'render',
    target_ms: 500,
    repeatable: true,
  });
});

test('a version conflict is reported with the diff and not retried', async () => {
  await bench.run('class', 'set', 'render', '--target-ms', '500');
  const set = ['class', 'set', 'render', '--target-ms', '900', '--expect', '1'];
  const {code, err} = await bench.run(...set);
  assert.equal(code, ExitCode.notRun);
  assert.match(err, /at version 2/);
  assert.match(err, /classes\/render\n {4}- \(absent\)\n {4}\+ .*500/);
  assert.equal(bench.admin.source.current().version, 2);
});

test('a change repeated with the same idempotency key is made once', async () => {
  const set = ['tenant', 'set', 't1', '--quota-slots', '5'];
  const again = [...set, '--expect', '1', '--idempotency-key', 'k1'];
  assert.equal((await bench.run(...again)).out, 'version 2\n');
  assert.equal((await bench.run(...again)).out, 'version 2\n');
  const list = await bench.run('tenant', 'list');
  assert.match(list.out, /^version 2\nname {2}quota_slots\nt1 {4}5\n$/);
});

test('delete removes an entry and reports not-run for a missing one', async () => {
  await bench.run('tenant', 'set', 't1');
  const first = await bench.run('tenant', 'delete', 't1');
  assert.equal(first.code, ExitCode.success);
  const second = await bench.run('tenant', 'delete', 't1');
  assert.equal(second.code, ExitCode.notRun);
});

test('commands that show state print text and JSON', async () => {
  bench.admin.histograms.record('response', 'class', 'default', 42);
  for (const view of [
    ['status'],
    ['upstreams'],
    ['histograms'],
    ['voters', 'list'],
    ['class', 'list'],
  ]) {
    const text = await bench.run(...view);
    assert.equal(text.code, ExitCode.success, view.join(' '));
    assert.isNotEmpty(text.out);
    const json = await bench.run(...view, '--json');
    assert.isObject(JSON.parse(json.out));
  }
  const {out} = await bench.run('histograms');
  assert.match(out, /response {2}class {2}default {2}1 +42 +42/);
});

test('drain and changes of voters are sent to the daemon', async () => {
  assert.equal((await bench.run('drain')).code, ExitCode.success);
  assert.equal(bench.admin.drainCount, 1);
  const {code, err} = await bench.run('voters', 'replace', 'a1', 'a2');
  assert.equal(code, ExitCode.notRun);
  assert.match(err, /without a configuration log/);
});

test('an invalid admin token is refused', async () => {
  const file = join(bench.dir, 'wrong');
  writeFileSync(file, 'wrong');
  const {code, err} = await bench.run('status', '--token-file', file);
  assert.equal(code, ExitCode.notRun);
  assert.match(err, /401 unauthorized/);
});

test('config check reports the errors of a settings file', async () => {
  const file = join(bench.dir, 'a1.toml');
  writeFileSync(file, 'node = 1\n');
  const {code, out} = await bench.run('config', 'check', file);
  assert.equal(code, ExitCode.usage);
  assert.include(out, `${file}: node: got 1; expected 1 to 63 of`);
});

test('--help exits with success', async () => {
  const {code, out} = await bench.run('--help');
  assert.equal(code, ExitCode.success);
  assert.match(out, /Exit codes: 0 success/);
});

test('a zone is evacuated, listed and restored', async () => {
  const evacuated = await bench.run('zone', 'evacuate', 'medeu');
  assert.deepEqual([evacuated.code, evacuated.out], [0, 'version 2\n']);
  const list = await bench.run('zone', 'list');
  assert.match(list.out, /arbat +false/);
  assert.match(list.out, /medeu +true/);
  const restored = await bench.run('zone', 'restore', 'medeu', '--json');
  assert.deepEqual(JSON.parse(restored.out), {version: 3});
  const unknown = await bench.run('zone', 'evacuate', 'nowhere');
  assert.equal(unknown.code, ExitCode.notRun);
  assert.include(unknown.err, 'nowhere');
});
