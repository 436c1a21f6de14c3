import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {assert} from 'chai';
import {CliBench} from '../../test-support/fakes/cli_bench.js';
import {collectTaskRuns} from './collect_task_runs.js';
import {describeTaskRuns} from './describe_task_runs.js';
import {jobLogLines} from './job_log_lines.js';

const TASK = 'aa.0.0.0';

/** A log line `ms` milliseconds after the first. */
function line(ms: number, node: string, message: string, fields: object) {
  const time = new Date(Date.UTC(2026, 0, 1) + ms).toISOString();
  const base = {time, node, message, job: 'aa'};
  return JSON.stringify({...base, ...fields});
}

const FIRST = {task: TASK, run: 300_001, worker: 'i-1'};
const SECOND = {task: TASK, run: 301_001, worker: 'i-2', token: 3_010};
const FALLBACK_LOG = line(500, 'entry-1', 'job_left', {
  token: 3_000,
  count: 1,
  runs: [{...FIRST, sent_ms_ago: 400}],
});
const CORE_LOG = [
  line(600, 'core-1', 'run_restarted', {...SECOND, grounds: 'settled_by_time'}),
  line(912, 'core-1', 'run_resurfaced', {...FIRST, token: 3_010}),
  line(1_000, 'core-1', 'run_ended', {...SECOND, how: 'done', after_ms: 400}),
  line(1_000, 'core-1', 'run_ended', {
    ...SECOND,
    task: 'aa.0.0.1',
    how: 'failed',
    after_ms: 10,
  }),
].join('\n');

test('two runs of a task that overlap are found in the logs of two nodes', () => {
  const runs = collectTaskRuns(jobLogLines('aa', [CORE_LOG, FALLBACK_LOG]));
  const [first, second] = runs.filter(r => r.task === TASK);
  assert.deepInclude(first, {run: 300_001, worker: 'i-1', token: 3_000});
  assert.deepInclude(second, {run: 301_001, worker: 'i-2', how: 'done'});
  const text = describeTaskRuns(runs).join('\n');
  assert.include(
    text,
    'runs 300001 on i-1 and 301001 on i-2 overlap by 312 ms as far as the logs tell',
  );
});

test('a run whose end was reported before the next one is no overlap', () => {
  const log = [
    line(300, 'c', 'run_ended', {...FIRST, how: 'failed', after_ms: 200}),
    line(320, 'c', 'run_restarted', {
      ...SECOND,
      grounds: 'run_over',
      earlier_run: 300_001,
      earlier_sent_ms_ago: 220,
      earlier_how: 'failed',
    }),
    line(520, 'c', 'run_ended', {...SECOND, how: 'done', after_ms: 200}),
  ].join('\n');
  const text = describeTaskRuns(collectTaskRuns(jobLogLines('aa', [log])));
  assert.lengthOf(text, 3);
  assert.notInclude(text.join('\n'), 'overlap');
});

// The start of a lost run is known, but nobody has seen it end.
test('a lost run that nobody has seen again counts as active until its start', () => {
  const lost = {...FIRST, how: 'lost', cause: 'lease_expired', after_ms: 800};
  const log = line(900, 'c', 'run_ended', lost);
  const [run] = collectTaskRuns(jobLogLines('aa', [log]));
  assert.equal(run!.activeUntil - run!.from, 0);
  assert.equal(run!.how, 'lost (lease_expired)');
});

test('explain takes the name of a task and shows only its runs', async () => {
  const bench = await CliBench.start();
  const files = [CORE_LOG, FALLBACK_LOG].map((text, n) => {
    const file = join(bench.dir, `${n}.log`);
    writeFileSync(file, text);
    return file;
  });
  const {out} = await bench.run('explain', TASK, ...files);
  assert.match(out, /overlap by 312 ms/);
  assert.notInclude(out, 'aa.0.0.1');
  const all = await bench.run('explain', 'aa', ...files);
  assert.include(all.out, 'runs of aa.0.0.1:');
  const json = await bench.run('explain', TASK, ...files, '--json');
  assert.include(json.out, '"nodes":["entry-1","core-1"]');
  await bench.stop();
});
