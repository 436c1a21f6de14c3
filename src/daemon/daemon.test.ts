import {assert} from 'chai';
import {request} from 'undici';
import {LocalCluster} from '../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../test-support/cluster/wait_until.js';

type Body = Record<string, unknown>;

/** Long enough for the test's health check to see the draining daemon. */
const DRAIN_NOTICE_MS = 4_000;
const OPEN_TASK_MS = 2_500;

let cluster: LocalCluster;
suiteSetup(async () => {
  cluster = await LocalCluster.create([
    {id: 'a1', zone: 'arbat', voter: true},
    {
      id: 'a2',
      zone: 'arbat',
      settings: {drain_notice_ms: DRAIN_NOTICE_MS},
    },
    {id: 'a3', zone: 'arbat'},
  ]);
  await cluster.startAll();
  cluster.startUpstream('w1', 'arbat');
});
suiteTeardown(() => cluster.stopAll());

async function call(
  method: 'GET' | 'POST' | 'DELETE',
  url: string,
  headers: Readonly<Record<string, string>> = {},
  body?: object,
): Promise<{status: number; headers: Body; body: Body}> {
  const res = await request(url, {
    method,
    headers: {
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
      ...headers,
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const json = (await res.body.json()) as Body;
  return {status: res.statusCode, headers: res.headers, body: json};
}

function job(tasks: readonly object[], over: object = {}): object {
  return {
    class: 'default',
    tasks: tasks.map(payload => ({payload})),
    ...over,
  };
}

async function newKey(node: string): Promise<string> {
  const {caller} = cluster.node(node);
  return String((await call('POST', `${caller}/v1/keys`)).body['key']);
}

test('a job submitted at one daemon is fetched at another', async () => {
  const key = await newKey('a2');
  const submitted = await call(
    'POST',
    `${cluster.node('a2').caller}/v1/jobs`,
    {'idempotency-key': `"${key}"`},
    job([
      {ms: 20, value: 'x'},
      {ms: 5, value: 'y'},
    ]),
  );
  assert.deepEqual(submitted.body, {
    status: 'complete',
    key,
    results: ['x', 'y'],
  });
  const again = await call(
    'GET',
    `${cluster.node('a3').caller}/v1/jobs/${key}`,
  );
  assert.deepEqual(again.body, submitted.body);
  const starts = cluster.starts.filter(start => start.key === key);
  assert.lengthOf(starts, 2);
});

test('a running job is cancelled at another daemon', async () => {
  const key = await newKey('a1');
  const accepted = await call(
    'POST',
    `${cluster.node('a2').caller}/v1/jobs`,
    {'idempotency-key': key},
    job([{ms: 60_000}], {wait_ms: 0}),
  );
  assert.equal(accepted.status, 202);
  const url = `${cluster.node('a3').caller}/v1/jobs/${key}`;
  const cancelled = await call('DELETE', url);
  assert.equal(cancelled.body['status'], 'cancelled');
  const fetched = await call('GET', url);
  assert.equal(fetched.body['status'], 'cancelled');
});

// Guards against an order that another daemon than the dispatcher does not obey.
test('a zone that is evacuated at one daemon starts nothing until its return', async () => {
  const order = (action: string) =>
    cluster.cli('a2', 'zone', action, 'arbat', '--json');
  const evacuated = await order('evacuate');
  assert.equal(evacuated.code, 0, evacuated.err);
  const key = await newKey('a3');
  const waiting = await call(
    'POST',
    `${cluster.node('a3').caller}/v1/jobs`,
    {'idempotency-key': key},
    job([{ms: 5, value: 'z'}], {wait_ms: 700}),
  );
  assert.equal(waiting.body['status'], 'running');
  assert.isFalse(cluster.starts.some(start => start.key === key));
  assert.equal((await order('restore')).code, 0);
  const url = `${cluster.node('a1').caller}/v1/jobs/${key}?wait_ms=10000`;
  const answer = await call('GET', url);
  assert.deepEqual(answer.body, {status: 'complete', key, results: ['z']});
  const unknown = await cluster.cli('a1', 'zone', 'evacuate', 'medeu');
  assert.equal(unknown.code, 3);
});

test('the admin API requires its token and reports the status of the daemon', async () => {
  const {admin} = cluster.node('a1');
  const refused = await call('GET', `${admin}/v1/status`);
  assert.equal(refused.status, 401);
  const wrong = await call('POST', `${admin}/v1/drain`, {
    authorization: 'Bearer wrong',
  });
  assert.equal(wrong.status, 401);
  const status = await cluster.cli('a1', 'status', '--json');
  assert.equal(status.code, 0, status.err);
  assert.include(JSON.parse(status.out), {node: 'a1', ready: true, slots: 8});
  const upstreams = await cluster.cli('a1', 'upstreams');
  assert.match(upstreams.out, /w1 .*arbat/);
});

// Guards against a stop that cuts off open requests or refuses new ones before
// the load balancer has seen the health check fail.
test('after SIGTERM the open request completes and the daemon exits with 0', async () => {
  const {caller, process: child} = cluster.node('a2');
  const key = await newKey('a2');
  const open = call(
    'POST',
    `${caller}/v1/jobs`,
    {'idempotency-key': key},
    job([{ms: OPEN_TASK_MS, value: 'whole'}]),
  );
  await waitUntil('the task start', () =>
    cluster.starts.some(start => start.key === key),
  );
  child?.kill('SIGTERM');
  await waitUntil('a failing health check', async () => {
    const health = await call('GET', `${caller}/healthz`);
    return health.status === 503;
  });
  const late = await call('POST', `${caller}/v1/keys`);
  assert.equal(late.status, 201);
  assert.equal(late.headers['connection'], 'close');
  // A second signal must have no effect.
  const code = cluster.stopNode('a2', 'SIGTERM');
  const answer = await open;
  assert.equal(answer.status, 200);
  assert.deepEqual(answer.body, {status: 'complete', key, results: ['whole']});
  assert.equal(await code, 0);
});

test('a daemon that an operator drains exits', async () => {
  const child = cluster.node('a3').process!;
  const drain = await cluster.cli('a3', 'drain');
  assert.equal(drain.code, 0, drain.err);
  await waitUntil('the exit', () => child.exitCode !== null);
  assert.equal(child.exitCode, 0);
});

test('a daemon with invalid settings exits before it listens', async () => {
  const bad = await LocalCluster.create([
    {id: 'a1', zone: 'arbat', voter: true, settings: {log_level: 'loud'}},
  ]);
  bad.startNode('a1');
  const child = bad.node('a1').process!;
  await waitUntil('the exit', () => child.exitCode !== null);
  assert.equal(child.exitCode, 78);
  await bad.stopAll();
});
