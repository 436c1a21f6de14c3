import {readFileSync, readdirSync} from 'node:fs';
import {assert} from 'chai';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
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
