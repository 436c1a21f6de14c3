import {request} from 'undici';
import {LocalCluster} from '../cluster/local_cluster.js';

const TASK_MS = 100;
const LONG_TASK_MS = 5_000;

async function call(
  method: 'POST' | 'DELETE',
  url: string,
  key: string | undefined,
  body?: object,
): Promise<Record<string, unknown>> {
  const res = await request(url, {
    method,
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : {'idempotency-key': key}),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return (await res.body.json()) as Record<string, unknown>;
}

const cluster = await LocalCluster.create([
  {id: 'a1', zone: 'arbat', voter: true},
  {id: 'a2', zone: 'arbat', voter: true},
  {id: 'p1', zone: 'panfilov', voter: true},
]);
try {
  await cluster.startAll();
  cluster.startUpstream('w1', 'arbat');
  cluster.startUpstream('w2', 'panfilov');
  console.log('three daemons in two zones are ready');

  const entry = cluster.node('a2').caller;
  const tasks = Array.from({length: 20}, (_, value) => ({
    payload: {ms: TASK_MS, value},
  }));
  const complete = await call('POST', `${entry}/v1/jobs`, undefined, {
    class: 'default',
    tasks,
  });
  console.log('job:', JSON.stringify(complete));

  const {key} = (await call('POST', `${entry}/v1/keys`, undefined)) as {
    key: string;
  };
  await call('POST', `${entry}/v1/jobs`, key, {
    class: 'default',
    tasks: [{payload: {ms: LONG_TASK_MS}}],
    wait_ms: 0,
  });
  const cancelled = await call('DELETE', `${entry}/v1/jobs/${key}`, undefined);
  console.log('cancelled job:', JSON.stringify(cancelled));
  const isGood =
    complete['status'] === 'complete' && cancelled['status'] === 'cancelled';
  process.exitCode = isGood ? 0 : 1;
} finally {
  await cluster.stopAll();
}
