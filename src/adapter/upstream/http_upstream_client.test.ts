import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {assert} from 'chai';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import {InProcessZone} from '../../../test-support/upstream/in_process_zone.js';
import {StandInUpstream} from '../../../test-support/upstream/stand_in_upstream.js';
import type {AttemptReport} from '../../core/upstream/attempt_report.js';
import type {WorkerTarget} from '../../core/upstream/worker_target.js';
import {HttpUpstreamClient} from './http_upstream_client.js';

interface Setup {
  readonly zone: InProcessZone;
  readonly relay: TcpRelay;
  readonly upstream: StandInUpstream;
  /** Started tasks as `KEY/TASK`, in the order of their starts. */
  readonly starts: string[];
}

/** Runs `check` with a zone whose only worker is behind a relay. */
async function withRelay(
  connections: number,
  check: (setup: Setup) => Promise<void>,
): Promise<void> {
  const zone = await InProcessZone.start();
  const starts: string[] = [];
  // Reserves a port, because the relay and the upstream each need the port of
  // the other.
  const portServer = createServer();
  await new Promise<void>(resolve =>
    portServer.listen(0, '127.0.0.1', resolve),
  );
  const {port} = portServer.address() as AddressInfo;
  await new Promise<void>(resolve => portServer.close(() => resolve()));
  const relay = await TcpRelay.listen(port);
  const upstream = new StandInUpstream({
    worker: 'w1',
    incarnation: 'i1',
    zone: 'arbat',
    slots: 8,
    connections,
    port,
    entries: [zone.url],
    announcedAddress: `http://127.0.0.1:${relay.port}`,
    onStart: ({key, task}) => starts.push(`${key}/${task}`),
  });
  await upstream.start();
  try {
    await zone.waitForFence('w1');
    await check({zone, relay, upstream, starts});
  } finally {
    await zone.stop();
    await upstream.stop();
    await relay.close();
  }
}

for (const direction of ['to_target', 'to_client', 'both'] as const) {
  test(`a task runs once if its upstream is silent before the start: ${direction}`, () =>
    withRelay(64, async ({zone, relay, starts}) => {
      // Opens the pooled connection that becomes unresponsive and is reused.
      await zone.waitForAnswer(zone.submit([1]));
      relay.silence(direction);
      const key = zone.submit([50]);
      const answer = await zone.waitForAnswer(key);
      assert.deepEqual(answer, {status: 'complete', key, results: [0]});
      const startsOfJob = starts.filter(start => start.startsWith(key));
      assert.lengthOf(startsOfJob, 1);
    }));

  test(`a task runs once if its upstream becomes silent meanwhile: ${direction}`, () =>
    withRelay(64, async ({zone, relay, upstream, starts}) => {
      const key = zone.submit([600]);
      await waitUntil('the start', () => upstream.running === 1);
      relay.silence(direction);
      const answer = await zone.waitForAnswer(key);
      assert.deepEqual(answer, {status: 'complete', key, results: [0]});
      assert.lengthOf(starts, 1);
    }));
}

test('a result is fetched if the upstream is silent when the task ends', () =>
  withRelay(64, async ({zone, relay, upstream, starts}) => {
    const key = zone.submit([300]);
    await waitUntil('the start', () => upstream.running === 1);
    relay.silence('to_client');
    await waitUntil('the end of the task', () => upstream.running === 0);
    const answer = await zone.waitForAnswer(key);
    assert.deepEqual(answer, {status: 'complete', key, results: [0]});
    assert.lengthOf(starts, 1);
  }));

test('a stop is sent although starts occupy their connections', () =>
  withRelay(3, async ({zone, relay, upstream}) => {
    // Two starts occupy all connections except the one for control messages.
    const keys = [zone.submit([20_000])];
    await waitUntil('the first start', () => upstream.running === 1);
    keys.push(zone.submit([20_000]));
    await waitUntil('both starts', () => upstream.running === 2);
    assert.isAtMost(relay.openCount, 3);
    for (const key of keys) zone.cancel(key);
    await waitUntil(
      'the end of both tasks',
      () => upstream.running === 0,
      3_000,
    );
    assert.isAtMost(relay.openCount, 3);
  }));

test('connections do not exceed the number that the worker announced', () =>
  withRelay(4, async ({zone, relay}) => {
    let maxOpen = 0;
    const keys: string[] = [];
    for (let n = 0; n < 20; n += 1) {
      keys.push(zone.submit([30]));
      await new Promise(resolve => setImmediate(resolve));
      maxOpen = Math.max(maxOpen, relay.openCount);
    }
    for (const key of keys) {
      const answer = await zone.waitForAnswer(key);
      assert.equal(answer.status, 'complete');
      maxOpen = Math.max(maxOpen, relay.openCount);
    }
    assert.isAtMost(maxOpen, 4);
  }));

test('duplicate reports do not change the results', () =>
  withRelay(64, async ({zone, upstream}) => {
    upstream.duplicatesReports = true;
    const key = zone.submit([20, 10, 30]);
    const answer = await zone.waitForAnswer(key);
    assert.deepEqual(answer, {status: 'complete', key, results: [0, 1, 2]});
  }));

test('a start without a response is resolved by polling', () =>
  withRelay(64, async ({zone, upstream, starts}) => {
    upstream.isHanging = true;
    const key = zone.submit([10]);
    await waitUntil('a timeout', () => zone.errors.length > 0);
    upstream.isHanging = false;
    // The upstream dropped the start, so the poll reports that it never ran.
    const answer = await zone.waitForAnswer(key);
    assert.equal(answer.status, 'complete');
    assert.lengthOf(starts, 1);
  }));

test('malformed lines, unknown ids and truncated lines are ignored', async () => {
  const lines = [
    'no json',
    '{"id":"1.1"}',
    '{"id":"9.9","state":"succeeded","result":1}',
    '{"id":"1.2","state":"succeeded","result":2}',
    '{"id":"1.2","state":"succeeded","result":2}',
  ].join('\n');
  const server = createServer((req, res) => {
    req.resume();
    res.end(`${lines}\n{"id":"1.1","state":"succeeded","result":1}`);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const errors: string[] = [];
  const reports: AttemptReport[] = [];
  const client = new HttpUpstreamClient({
    onError: detail => errors.push(detail),
  });
  client.listen({
    reported: (_, received) => reports.push(...received),
    forgotten: () => undefined,
    fenced: () => undefined,
    replaced: () => undefined,
    superseded: () => undefined,
  });
  const {port} = server.address() as AddressInfo;
  const target: WorkerTarget = {
    worker: 'w1',
    incarnation: 'i1',
    address: `http://127.0.0.1:${port}`,
    connections: 4,
  };
  const startOf = (id: string) => ({
    id,
    key: 'k',
    task: 0,
    class: 'default',
    tenant: 'default',
    memory_mb: 0,
    accelerators: 0,
    payload: null,
  });
  client.start(target, 1, [startOf('1.1'), startOf('1.2')]);
  await waitUntil('the errors', () => errors.length === 2);
  await waitUntil('the report', () => reports.length > 0);
  await client.close();
  server.closeAllConnections();
  await new Promise<void>(resolve => server.close(() => resolve()));
  const ids = new Set(reports.map(({id}) => id));
  // The last line has no terminator, so it may be truncated.
  assert.deepEqual([...ids], ['1.2']);
});
