import {assert} from 'chai';
import {v7 as uuidv7} from 'uuid';
import {ZonesBench} from '../../../test-support/fakes/zones_bench.js';
import {JobKey} from '../../core/job/job_key.js';

const TASK_MS = 500;

async function benchWithJob(): Promise<ZonesBench> {
  const bench = await ZonesBench.create({zones: {arbat: 1}});
  const now = bench.clock.now();
  const text = `arbat~${uuidv7({msecs: Math.floor(now)})}`;
  const key = JobKey.parse(text).unwrapOrElse(err => {
    throw new Error(err);
  });
  const {dispatcher} = bench.zone('arbat').service;
  const taken = dispatcher.submit(
    key,
    {
      key: key.text,
      keyTimeMs: key.timeMs,
      className: 'default',
      tenant: 'default',
      repeatable: true,
      tasks: [{payload: {ms: TASK_MS}}],
      fingerprint: 'f',
      submittedAt: now,
    },
    now,
  );
  assert.isTrue(taken.isOk);
  return bench;
}

async function isIdleAfter(
  bench: ZonesBench,
  limitMs: number,
  ms: number,
): Promise<boolean> {
  let isIdle = false;
  const idle = bench.zone('arbat').service.whenIdle(limitMs);
  void idle.then(() => (isIdle = true));
  await bench.advance(ms);
  return isIdle;
}

// Guards against a planned stop that forgets the jobs of a group of one.
test('a stop without a successor waits for the open jobs', async () => {
  const bench = await benchWithJob();
  assert.isFalse(await isIdleAfter(bench, 10_000, TASK_MS / 2));
  assert.isTrue(await isIdleAfter(bench, 10_000, TASK_MS));
});

// Guards against a drain that a hung task holds up for good.
test('the wait for open jobs is bounded', async () => {
  const bench = await benchWithJob();
  assert.isTrue(await isIdleAfter(bench, 200, TASK_MS / 2 + 100));
});
