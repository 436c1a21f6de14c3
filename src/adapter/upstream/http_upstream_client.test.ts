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
  /** Keys and tasks in the order of their starts. */
  readonly starts: string[];
}

/** A zone whose one worker is reached through a relay. */
async function withRelay(
  connections: number,
  check: (setup: Setup) => Promise<void>,
): Promise<void> {
  const zone = await InProcessZone.start();
  const starts: string[] = [];
  // The relay needs the upstream's port, and the upstream the relay's.
  const probe = createServer();
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve));
  const {port} = probe.address() as AddressInfo;
  await new Promise<void>(resolve => probe.close(() => resolve()));
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
  test(`an upstream silent before the start: ${direction}`, () =>
    withRelay(64, async ({zone, relay, starts}) => {
      // Opens the connection that goes silent and is used again.
      await zone.waitForAnswer(zone.submit([1]));
      relay.silence(direction);
      const key = zone.submit([50]);
      const answer = await zone.waitForAnswer(key);
      assert.deepEqual(answer, {status: 'complete', key, results: [0]});
      const ofKey = starts.filter(start => start.startsWith(key));
      assert.lengthOf(ofKey, 1);
    }));

  test(`an upstream silent while a task runs: ${direction}`, () =>
    withRelay(64, async ({zone, relay, upstream, starts}) => {
      const key = zone.submit([600]);
      await waitUntil('the start', () => upstream.running === 1);
      relay.silence(direction);
      const answer = await zone.waitForAnswer(key);
      assert.deepEqual(answer, {status: 'complete', key, results: [0]});
      assert.lengthOf(starts, 1);
    }));
}

test('an upstream silent after the task ran', () =>
  withRelay(64, async ({zone, relay, upstream, starts}) => {
    const key = zone.submit([300]);
    await waitUntil('the start', () => upstream.running === 1);
    relay.silence('to_client');
    await waitUntil('the end', () => upstream.running === 0);
    const answer = await zone.waitForAnswer(key);
    assert.deepEqual(answer, {status: 'complete', key, results: [0]});
    assert.lengthOf(starts, 1);
  }));

test('held connections do not hold up a stop', () =>
  withRelay(3, async ({zone, relay, upstream}) => {
    // Two starts hold all connections but the one for control messages.
    const keys = [zone.submit([20_000])];
    await waitUntil('the first start', () => upstream.running === 1);
    keys.push(zone.submit([20_000]));
    await waitUntil('both starts', () => upstream.running === 2);
    assert.isAtMost(relay.openCount, 3);
    for (const key of keys) zone.cancel(key);
    await waitUntil('the stop', () => upstream.running === 0, 3_000);
    assert.isAtMost(relay.openCount, 3);
  }));

test('connections stay within what the worker announced', () =>
  withRelay(4, async ({zone, relay}) => {
    let most = 0;
    const keys: string[] = [];
    for (let n = 0; n < 20; n += 1) {
      keys.push(zone.submit([30]));
      await new Promise(resolve => setImmediate(resolve));
      most = Math.max(most, relay.openCount);
    }
    for (const key of keys) {
      const answer = await zone.waitForAnswer(key);
      assert.equal(answer.status, 'complete');
      most = Math.max(most, relay.openCount);
    }
    assert.isAtMost(most, 4);
  }));

test('duplicate reports change nothing', () =>
  withRelay(64, async ({zone, upstream}) => {
    upstream.duplicatesReports = true;
    const key = zone.submit([20, 10, 30]);
    const answer = await zone.waitForAnswer(key);
    assert.deepEqual(answer, {status: 'complete', key, results: [0, 1, 2]});
  }));

test('a start that hangs is settled by asking', () =>
  withRelay(64, async ({zone, upstream, starts}) => {
    upstream.isHanging = true;
    const key = zone.submit([10]);
    await waitUntil('a time-out', () => zone.errors.length > 0);
    upstream.isHanging = false;
    // The start was read and dropped, so asking shows that it never ran.
    const answer = await zone.waitForAnswer(key);
    assert.equal(answer.status, 'complete');
    assert.lengthOf(starts, 1);
  }));

test('malformed lines, wrong ids and cut lines do no harm', async () => {
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
  // The last line has no end, so it may be cut.
  assert.deepEqual([...ids], ['1.2']);
});
