import {assert} from 'chai';
import {jobSpecOf} from '../../../test-support/fakes/job_spec_of.js';
import {newJobKey} from '../../../test-support/fakes/new_job_key.js';
import {ZonesBench} from '../../../test-support/fakes/zones_bench.js';

const TASK_MS = 500;

async function benchWithJob(): Promise<ZonesBench> {
  const bench = await ZonesBench.create({zones: {arbat: 1}});
  const now = bench.clock.now();
  const key = newJobKey('arbat', now);
  const spec = jobSpecOf(key, [TASK_MS], now);
  const {dispatcher} = bench.zone('arbat').service;
  const accepted = dispatcher.submit(key, spec, now);
  assert.isTrue(accepted.isOk);
  return bench;
}

async function isIdleAfter(
  bench: ZonesBench,
  limitMs: number,
  ms: number,
): Promise<boolean> {
  let isIdle = false;
  const idle = bench.zone('arbat').service.waitUntilIdle(limitMs);
  void idle.then(() => (isIdle = true));
  await bench.advance(ms);
  return isIdle;
}

// Guards against a graceful stop that loses the jobs of a group with one member.
test('a stop waits for the open jobs if no other node can take over', async () => {
  const bench = await benchWithJob();
  assert.isFalse(await isIdleAfter(bench, 10_000, TASK_MS / 2));
  assert.isTrue(await isIdleAfter(bench, 10_000, TASK_MS));
});

// Guards against a hung task that blocks a drain forever.
test('the wait for open jobs has a limit', async () => {
  const bench = await benchWithJob();
  assert.isTrue(await isIdleAfter(bench, 200, TASK_MS / 2 + 100));
});
