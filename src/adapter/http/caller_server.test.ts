import {assert} from 'chai';
import {Result} from 'true-myth';
import {request as fetchHttp} from 'undici';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {CallerServerBench} from '../../../test-support/fakes/caller_server_bench.js';
import {RawHttpClient} from '../../../test-support/fakes/raw_http_client.js';

const {formatRequest: request} = CallerServerBench;
const JOB = JSON.stringify({class: 'default', tasks: [{payload: 1}]});

async function responseTo(
  bench: CallerServerBench,
  bytes: string,
): Promise<{
  status: number;
  outcome: unknown;
  headers: Record<string, string>;
}> {
  const client = new RawHttpClient(bench.port);
  client.send(bytes);
  const [res] = await client.read(1);
  client.close();
  assert.isDefined(res);
  const body = JSON.parse(res.body) as {outcome?: unknown};
  return {status: res.status, outcome: body.outcome, headers: res.headers};
}

const REFUSED: ReadonlyArray<readonly [string, string, number]> = [
  ['an unknown path', request('GET', '/v2/jobs'), 404],
  ['a wrong method', request('PUT', '/v1/jobs', JOB), 405],
  ['an invalid percent-encoding', request('GET', '/v1/jobs/%E0%A4%A'), 400],
  [
    'an invalid percent-encoding in a query',
    request('GET', '/healthz?x=%zz'),
    400,
  ],
  [
    'a deeply nested payload in a valid job',
    request(
      'POST',
      '/v1/jobs',
      `{"class":"default","tasks":[{"payload":${'['.repeat(70)}${']'.repeat(70)}}]}`,
    ),
    400,
  ],
  ['a path in absolute form', request('GET', 'http://x/v1/jobs/1'), 400],
  ['a long URL', request('GET', `/v1/jobs/${'k'.repeat(3_000)}`), 414],
  [
    'a long header',
    request('GET', '/healthz', undefined, {x: 'y'.repeat(20_000)}),
    431,
  ],
  [
    'too many header lines',
    request(
      'POST',
      '/v1/jobs',
      JOB,
      Object.fromEntries(Array.from({length: 120}, (_, n) => [`x${n}`, '1'])),
    ),
    431,
  ],
  ['no Host header', 'GET /healthz HTTP/1.1\r\n\r\n', 400],
  [
    'no content type',
    request('POST', '/v1/jobs', JOB, {'content-type': ''}),
    415,
  ],
  [
    'another content type',
    request('POST', '/v1/jobs', JOB, {'content-type': 'text/plain'}),
    415,
  ],
  [
    'a content encoding',
    request('POST', '/v1/jobs', JOB, {'content-encoding': 'gzip'}),
    415,
  ],
  ['no body', request('POST', '/v1/jobs'), 400],
  ['an unexpected body', request('POST', '/v1/keys', '{}'), 400],
  ['a cancel with a body', request('DELETE', '/v1/jobs/x', '{}'), 400],
  ['a body that is not JSON', request('POST', '/v1/jobs', '{'), 400],
  [
    'deeply nested JSON',
    request('POST', '/v1/jobs', '['.repeat(1e6) + ']'.repeat(1e6)),
    400,
  ],
  [
    'a huge number',
    request(
      'POST',
      '/v1/jobs',
      '{"class":"default","tasks":[{"payload":1}],"wait_ms":1e400}',
    ),
    400,
  ],
  [
    'a wait over the limit',
    request('GET', '/v1/jobs/01900000-0000-7000-8000-000000000000?wait_ms=1e9'),
    400,
  ],
  [
    'a content length that is not a number',
    request('POST', '/v1/jobs', JOB, {'content-length': 'x'}),
    400,
  ],
  [
    'a long idempotency key',
    request('POST', '/v1/jobs', JOB, {'idempotency-key': 'a'.repeat(5_000)}),
    400,
  ],
  [
    'two idempotency keys',
    request('POST', '/v1/jobs', JOB, {'idempotency-key': 'a, b'}),
    400,
  ],
  [
    'an unknown expectation',
    request('POST', '/v1/jobs', JOB, {expect: 'cake'}),
    417,
  ],
  [
    'an invalid announcement',
    request('POST', '/v1/workers', '{"worker":1}'),
    400,
  ],
];

for (const [description, bytes, status] of REFUSED) {
  test(`${description} is refused as not run and the server keeps serving`, async () => {
    const bench = await CallerServerBench.start();
    const res = await responseTo(bench, bytes);
    assert.deepEqual([res.status, res.outcome], [status, 'not_run']);
    assert.equal(res.headers['content-type'], 'application/problem+json');
    assert.isEmpty(bench.routed);
    const health = await responseTo(bench, request('GET', '/healthz'));
    assert.equal(health.status, 200);
    await bench.server.drain();
  });
}

test('a body over the limit is refused before it is received completely', async () => {
  const bench = await CallerServerBench.start();
  const head = request('POST', '/v1/jobs', undefined, {
    'content-type': 'application/json',
    'content-length': '1000000000',
  });
  const res = await responseTo(bench, head + ' '.repeat(9 * 1024 * 1024));
  assert.deepEqual([res.status, res.outcome], [413, 'not_run']);
  await bench.server.drain();
});

test('a truncated request never runs', async () => {
  const bench = await CallerServerBench.start();
  const fullRequest = request('POST', '/v1/jobs', JOB);
  for (const missingBytes of [1, 10, JOB.length]) {
    const part = fullRequest.slice(0, fullRequest.length - missingBytes);
    const [res] = await RawHttpClient.exchange(bench.port, part);
    assert.equal(res?.status, 400);
    assert.propertyVal(JSON.parse(res!.body), 'outcome', 'not_run');
  }
  assert.isEmpty(bench.routed);
  await bench.server.drain();
});

test('a slow request times out and never runs', async () => {
  const bench = await CallerServerBench.start({
    headersTimeoutMs: 100,
    requestTimeoutMs: 200,
  });
  const fullRequest = request('POST', '/v1/jobs', JOB);
  for (const part of ['GET /healthz HT', fullRequest.slice(0, -1)]) {
    const client = new RawHttpClient(bench.port);
    client.send(part);
    await client.closed;
    const [res] = client.responses();
    assert.equal(res?.status, 408);
    assert.propertyVal(JSON.parse(res!.body), 'outcome', 'not_run');
  }
  assert.isEmpty(bench.routed);
  await bench.server.drain();
});

test('a parse error is not sent as the response of an earlier open request', async () => {
  const bench = await CallerServerBench.start();
  let finish = () => {};
  bench.answer = ({key}) =>
    new Promise(resolve => {
      finish = () =>
        resolve(Result.ok({status: 'complete', key, results: [7]}));
    });
  const client = new RawHttpClient(bench.port);
  client.send(request('POST', '/v1/jobs', JOB));
  await waitUntil('the routed job', () => bench.routed.length === 1);
  client.send('\0garbage\r\n\r\n');
  const health = await responseTo(bench, request('GET', '/healthz'));
  assert.equal(health.status, 200);
  assert.isEmpty(client.responses());
  finish();
  await client.closed;
  const [res, ...others] = client.responses();
  assert.deepEqual(JSON.parse(res!.body).results, [7]);
  assert.isEmpty(others);
  await bench.server.drain();
});

test('a connection is closed after its last request', async () => {
  const bench = await CallerServerBench.start({maxRequestsPerConnection: 2});
  const client = new RawHttpClient(bench.port);
  client.send(request('POST', '/v1/keys').repeat(3));
  await client.closed;
  const responses = client.responses();
  assert.lengthOf(responses, 2);
  assert.equal(responses[1]?.headers['connection'], 'close');
  await bench.server.drain();
});

test('connections over the limit are closed', async () => {
  const bench = await CallerServerBench.start({maxConnections: 1});
  const first = new RawHttpClient(bench.port);
  first.send(request('GET', '/healthz'));
  await first.read(1);
  const second = new RawHttpClient(bench.port);
  await second.closed;
  assert.isEmpty(second.responses());
  first.close();
  await bench.server.drain();
});

test('an error in a handler is a 500 with an unknown outcome', async () => {
  const bench = await CallerServerBench.start();
  bench.answer = () => {
    throw new Error('broken backend');
  };
  const res = await responseTo(bench, request('POST', '/v1/jobs', JOB));
  assert.deepEqual([res.status, res.outcome], [500, 'outcome_unknown']);
  assert.match(bench.errors.join(), /broken backend/);
  await bench.server.drain();
});

test('an overload is reported with Retry-After', async () => {
  const bench = await CallerServerBench.start();
  bench.answer = () =>
    Result.err({
      code: 'overloaded',
      outcome: 'not_run',
      detail: 'full',
      retryAfterMs: 1_200,
    });
  const res = await responseTo(bench, request('POST', '/v1/jobs', JOB));
  assert.deepEqual([res.status, res.outcome], [429, 'not_run']);
  assert.equal(res.headers['retry-after'], '2');
  await bench.server.drain();
});

test('a disconnect cancels the job only with cancel_on_disconnect', async () => {
  const bench = await CallerServerBench.start();
  bench.answer = () => new Promise(() => undefined);
  const body = (cancel: boolean) =>
    JSON.stringify({
      class: 'default',
      tasks: [{payload: 1}],
      cancel_on_disconnect: cancel,
    });
  for (const cancel of [false, true]) {
    const before = bench.routed.length;
    const client = new RawHttpClient(bench.port);
    client.send(request('POST', '/v1/jobs', body(cancel)));
    await waitUntil('the routed job', () => bench.routed.length > before);
    client.close();
  }
  await waitUntil('a cancel', () => bench.routed.at(-1)?.kind === 'cancel');
  const kinds = bench.routed.map(req => req.kind);
  assert.deepEqual(kinds, ['submit', 'submit', 'cancel']);
  assert.equal(bench.routed[2]?.key, bench.routed[1]?.key);
  await bench.server.drain();
});

test('a drain completes open requests and closes idle connections', async () => {
  const bench = await CallerServerBench.start();
  let finish = () => {};
  bench.answer = ({key}) =>
    new Promise(resolve => {
      finish = () => resolve(Result.ok({status: 'complete', key, results: []}));
    });
  const idle = new RawHttpClient(bench.port);
  idle.send(request('GET', '/healthz'));
  await idle.read(1);
  const open = fetchHttp(`${bench.url}/v1/jobs`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JOB,
  });
  await waitUntil('the routed job', () => bench.routed.length === 1);
  bench.server.http.announceDrain();
  const lateResponse = await fetchHttp(`${bench.url}/v1/keys`, {
    method: 'POST',
  });
  assert.equal(lateResponse.statusCode, 201);
  assert.equal(lateResponse.headers['connection'], 'close');
  await lateResponse.body.dump();
  let isDrained = false;
  const drained = bench.server.drain().then(() => {
    isDrained = true;
  });
  await idle.closed;
  assert.isFalse(isDrained);
  finish();
  const res = await open;
  assert.equal(res.statusCode, 200);
  // A connection kept alive would delay the drain until its timeout.
  assert.equal(res.headers['connection'], 'close');
  assert.propertyVal(await res.body.json(), 'status', 'complete');
  await drained;
});

test('an incomplete request delays a drain only until the request timeout', async () => {
  const bench = await CallerServerBench.start({
    headersTimeoutMs: 300,
    requestTimeoutMs: 300,
  });
  const part = request('POST', '/v1/jobs', JOB).slice(0, -JOB.length);
  const clients = ['GET /heal', part].map(bytes => {
    const client = new RawHttpClient(bench.port);
    client.send(bytes);
    return client;
  });
  const health = await responseTo(bench, request('GET', '/healthz'));
  assert.equal(health.status, 200);
  // Regular bytes keep the socket timeout of the server from expiring.
  const slowSender = setInterval(() => {
    for (const client of clients) client.send('x');
  }, 50);
  await bench.server.drain();
  clearInterval(slowSender);
  await Promise.all(clients.map(client => client.closed));
  assert.isEmpty(bench.routed);
});
