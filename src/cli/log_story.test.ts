import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {assert} from 'chai';
import {CliBench} from '../../test-support/fakes/cli_bench.js';
import {ExitCode} from './exit_code.js';
import {logStory} from './log_story.js';

function line(time: string, node: string, message: string, job: string) {
  const fields = {level: 'info', zone: 'z', reason: 'r'};
  return JSON.stringify({time, node, message, job, ...fields});
}

const LEAD = [
  line('2026-01-01T00:00:02Z', 'core-1', 'job_accepted', 'aa'),
  line('2026-01-01T00:00:02Z', 'core-1', 'job_accepted', 'bb'),
  'not JSON, but it names aa',
  '{"torn": "aa',
].join('\n');
const ENTRY = `12.5 entry-1 ${line('2026-01-01T00:00:01Z', 'entry-1', 'job_refused', 'aa')}`;

test('the lines of one job are shown by time, over all nodes', () => {
  const story = logStory('aa', [LEAD, ENTRY]);
  const shown = story.map(({node, message}) => `${node} ${message}`);
  assert.deepEqual(shown, ['entry-1 job_refused', 'core-1 job_accepted']);
  assert.deepEqual(story[0]!.fields, {reason: 'r'});
});

test('explain reads files and fails for an unknown id', async () => {
  const bench = await CliBench.start();
  const file = join(bench.dir, 'core.log');
  writeFileSync(file, LEAD);
  const found = await bench.run('explain', 'aa', file);
  assert.match(found.out, /core-1 job_accepted reason=r\n$/);
  const none = await bench.run('explain', 'cc', file);
  assert.equal(none.code, ExitCode.jobFailed);
  const missing = await bench.run('explain', 'aa', join(bench.dir, 'none'));
  assert.equal(missing.code, ExitCode.usage);
  await bench.stop();
});
