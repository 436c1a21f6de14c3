import {assert} from 'chai';
import {request} from 'undici';
import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';

const TASKS = 24;
const TASK_MS = 150;
const SLOTS = 4;

interface Answer {
  readonly status: string;
  readonly key: string;
  readonly results?: readonly unknown[];
  readonly outcome?: string;
}

async function post(
  url: string,
  key: string | undefined,
  body?: object,
): Promise<Answer> {
  const res = await request(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === undefined ? {} : {'idempotency-key': key}),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  return (await res.body.json()) as Answer;
}

function job() {
  const tasks = Array.from({length: TASKS}, (_, value) => ({
    payload: {ms: TASK_MS, value},
  }));
  return {class: 'default', tasks, wait_ms: 30_000};
}

/** Three daemons of one zone with one upstream that has proved to work. */
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

/** The epoch's remainder names the member that leads in it. */
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

const EACH_TASK = Array.from({length: TASKS}, (_, task) => task);

test('a job outlives its dispatcher and no task starts twice', async () => {
  // SIGKILL leaves starts under way that only the group knows of.
  const cluster = await start();
  try {
    const first = dispatcherOf(cluster);
    const entry = [...cluster.nodes.keys()].find(id => id !== first)!;
    const {caller} = cluster.node(entry);
    const {key} = await post(`${caller}/v1/keys`, undefined);
    const answer = post(`${caller}/v1/jobs`, key, job());
    await waitUntil(
      'a few starts',
      () => startsOf(cluster, key).length > SLOTS,
    );
    await cluster.stopNode(first, 'SIGKILL');
    const {status, results} = await answer;
    assert.equal(status, 'complete');
    assert.deepEqual(results, EACH_TASK);
    assert.deepEqual(startsOf(cluster, key), EACH_TASK);
    assert.notEqual(dispatcherOf(cluster), first);
  } finally {
    await cluster.stopAll();
  }
});

test('a planned stop of the dispatcher cuts no request', async () => {
  const cluster = await start();
  try {
    const first = dispatcherOf(cluster);
    const jobs = [...cluster.nodes.values()].map(async ({caller}) => {
      const {key} = await post(`${caller}/v1/keys`, undefined);
      return {key, answer: post(`${caller}/v1/jobs`, key, job())};
    });
    const running = await Promise.all(jobs);
    await waitUntil('a few starts', () => cluster.starts.length > SLOTS + 1);
    assert.equal(await cluster.stopNode(first), 0);
    for (const {key, answer} of running) {
      assert.equal((await answer).status, 'complete');
      assert.deepEqual(startsOf(cluster, key), EACH_TASK);
    }
    assert.notEqual(dispatcherOf(cluster), first);
  } finally {
    await cluster.stopAll();
  }
});
