import {assert} from 'chai';
import {request} from 'undici';
import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';

const TASKS = 24;
const TASK_MS = 150;
const SLOTS = 4;

interface Reply {
  readonly status: string;
  readonly key: string;
  readonly results?: readonly unknown[];
  readonly outcome?: string;
}

async function post(
  url: string,
  key: string | undefined,
  body?: object,
): Promise<Reply> {
  const res = await request(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : {'idempotency-key': key}),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return (await res.body.json()) as Reply;
}

function job() {
  const tasks = Array.from({length: TASKS}, (_, value) => ({
    payload: {ms: TASK_MS, value},
  }));
  return {class: 'default', tasks, wait_ms: 30_000};
}

/** Starts three daemons of one zone with one upstream, and runs a probe job. */
async function start(): Promise<LocalCluster> {
  const cluster = await LocalCluster.create(
    ['a1', 'a2', 'a3'].map(id => ({id, zone: 'arbat', voter: true})),
  );
  await cluster.startAll();
  cluster.startUpstream('w1', 'arbat', SLOTS);
  const probe = await post(`${cluster.node('a1').caller}/v1/jobs`, undefined, {
    class: 'default',
    tasks: [{payload: {value: 'probe'}}],
    wait_ms: 10_000,
  });
  assert.equal(probe.status, 'complete');
  return cluster;
}

/** The leader of an epoch is the member whose index is its remainder. */
function dispatcherOf(cluster: LocalCluster): string {
  const epoch = Number(cluster.starts.at(-1)!.start.split('.')[0]);
  const members = [...cluster.nodes.keys()].sort();
  return members[epoch % members.length]!;
}

function startsOf(cluster: LocalCluster, key: string): number[] {
  return cluster.starts
    .filter(start => start.key === key)
    .map(start => start.task)
    .sort((a, b) => a - b);
}

const ALL_TASKS = Array.from({length: TASKS}, (_, task) => task);

// Guards against tasks that are lost or start twice after the dispatcher crashes:
// SIGKILL leaves task starts in flight that only the group has recorded.
test('a job survives a crash of its dispatcher and no task starts twice', async () => {
  const cluster = await start();
  try {
    const first = dispatcherOf(cluster);
    const entry = [...cluster.nodes.keys()].find(id => id !== first)!;
    const {caller} = cluster.node(entry);
    const {key} = await post(`${caller}/v1/keys`, undefined);
    const reply = post(`${caller}/v1/jobs`, key, job());
    await waitUntil(
      'a few task starts',
      () => startsOf(cluster, key).length > SLOTS,
    );
    await cluster.stopNode(first, 'SIGKILL');
    const {status, results} = await reply;
    assert.equal(status, 'complete');
    assert.deepEqual(results, ALL_TASKS);
    assert.deepEqual(startsOf(cluster, key), ALL_TASKS);
    assert.notEqual(dispatcherOf(cluster), first);
  } finally {
    await cluster.stopAll();
  }
});

test('a graceful stop of the dispatcher completes all requests', async () => {
  const cluster = await start();
  try {
    const first = dispatcherOf(cluster);
    const jobs = [...cluster.nodes.values()].map(async ({caller}) => {
      const {key} = await post(`${caller}/v1/keys`, undefined);
      return {key, reply: post(`${caller}/v1/jobs`, key, job())};
    });
    const running = await Promise.all(jobs);
    await waitUntil(
      'a few task starts',
      () => cluster.starts.length > SLOTS + 1,
    );
    assert.equal(await cluster.stopNode(first), 0);
    for (const {key, reply} of running) {
      assert.equal((await reply).status, 'complete');
      assert.deepEqual(startsOf(cluster, key), ALL_TASKS);
    }
    assert.notEqual(dispatcherOf(cluster), first);
  } finally {
    await cluster.stopAll();
  }
});
