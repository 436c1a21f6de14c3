import {readFileSync, readdirSync} from 'node:fs';
import {assert} from 'chai';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
import {recordedTelemetry} from '../../../test-support/fakes/pool/recorded_telemetry.js';
import {createLog} from '../log/create_log.js';
import {PoolTelemetry} from './pool_telemetry.js';

const ROOT = new URL('../../../../', import.meta.url);
const CALL =
  /(?:recordJobEvent|recordStateChange|incrementCounter|info|warn)\(\s*'([a-z_]+)'/g;

// Guards against an event that is added in the code and not documented.
test('every event of the pool is documented for operators', () => {
  const page = readFileSync(new URL('docs/OPERATIONS.md', ROOT), 'utf8');
  const folders = ['src/core/pool/', 'src/platform/', 'src/daemon/pool/'];
  const missing = new Set<string>();
  for (const folder of folders) {
    const names = readdirSync(new URL(folder, ROOT), {
      encoding: 'utf8',
      recursive: true,
    });
    for (const file of names) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue;
      const text = readFileSync(new URL(folder + file, ROOT), 'utf8');
      for (const [, event] of text.matchAll(CALL)) {
        if (!page.includes(`\`${event!}\``)) missing.add(event!);
      }
    }
  }
  assert.deepEqual([...missing], []);
});

test('the number of suppressed lines is logged although no event follows', async () => {
  const lines: string[] = [];
  const clock = new FakeClock();
  const log = createLog({
    node: 'n',
    zone: 'z',
    isTerminal: false,
    write: line => lines.push(line),
  });
  const telemetry = new PoolTelemetry(log, clock);
  for (let n = 0; n < 200; n += 1) {
    telemetry.recordJobEvent('job_accepted', `j${n}`, {});
  }
  clock.advance(1_000);
  const [last] = lines.slice(-1);
  assert.deepInclude(JSON.parse(last!) as object, {
    message: 'log_sampled',
    event: 'job_accepted',
    suppressed: 50,
  });
  const text = await telemetry.registry.metrics();
  assert.include(text, 'pimentoyoke_events_total{event="job_accepted"} 200');
});

test('answers are counted by queue, kind and reason', async () => {
  const {telemetry} = recordedTelemetry();
  telemetry.recordResponseTime('q', 'completed', 300);
  telemetry.recordResponseTime('q', 'refused', 10, 'too_late');
  telemetry.recordPhase('q', 'queue', 60);
  const text = await telemetry.registry.metrics();
  const name = 'pimentoyoke_jobs_total';
  assert.include(text, `${name}{queue="q",kind="refused",reason="too_late"} 1`);
  assert.include(text, `${name}{queue="q",kind="completed",reason=""} 1`);
  const phase = 'pimentoyoke_phase_seconds_count{queue="q",phase="queue"} 1';
  assert.include(text, phase);
});

// Totals are kept for the log, so they must not be added at each collection.
test('events are not counted again when the metrics are fetched again', async () => {
  const {telemetry} = recordedTelemetry();
  telemetry.incrementCounter('starts');
  await telemetry.registry.metrics();
  telemetry.incrementCounter('starts');
  const text = await telemetry.registry.metrics();
  assert.include(text, 'pimentoyoke_events_total{event="starts"} 2');
});
