import {assert} from 'chai';
import fc from 'fast-check';
import {CallerServerBench} from '../../../test-support/fakes/caller_server_bench.js';
import {RawHttpClient} from '../../../test-support/fakes/raw_http_client.js';

const RUNS = 150;
const {formatRequest: request} = CallerServerBench;
const VALID = {
  class: 'default',
  tenant: 'default',
  tasks: [{payload: 1, memory_mb: 1, accelerators: 0}],
  repeatable: true,
  wait_ms: 0,
  cancel_on_disconnect: false,
};

/**
 * Sends bytes and checks invariants of the responses: every response is
 * complete, every refusal is a problem document with outcome `not_run`, refused
 * requests did not reach the backend, and the server reports no error.
 */
async function checkResponses(
  bench: CallerServerBench,
  bytes: string | Uint8Array,
): Promise<number[]> {
  const before = bench.routed.length;
  const responses = await RawHttpClient.exchange(bench.port, bytes);
  for (const {status, headers, body} of responses) {
    if (status < 400) continue;
    assert.isBelow(status, 500, body);
    assert.equal(headers['content-type'], 'application/problem+json');
    if (body === '') continue; // A HEAD request has no body.
    const problem = JSON.parse(body) as {status: number; outcome: string};
    assert.equal(problem.status, status);
    assert.equal(problem.outcome, 'not_run');
  }
  const refused = responses.filter(res => res.status >= 400).length;
  if (refused === responses.length) assert.lengthOf(bench.routed, before);
  assert.isEmpty(bench.errors);
  return responses.map(res => res.status);
}

async function checkProperty<T>(
  inputs: fc.Arbitrary<T>,
  check: (bench: CallerServerBench, input: T) => Promise<void>,
): Promise<void> {
  const bench = await CallerServerBench.start();
  const property = fc.asyncProperty(inputs, input => check(bench, input));
  await fc.assert(property, {numRuns: RUNS});
  const health = request('GET', '/healthz', undefined, {connection: 'close'});
  const client = new RawHttpClient(bench.port);
  client.send(health);
  assert.equal((await client.read(1))[0]?.status, 200);
  await bench.server.drain();
}

test('arbitrary bytes start no job and the server keeps serving', async () => {
  await checkProperty(
    fc.uint8Array({maxLength: 2_000}),
    async (bench, bytes) => {
      await checkResponses(bench, bytes);
      assert.isEmpty(bench.routed);
    },
  );
});

test('an arbitrary JSON value as a submission is refused as not run', async () => {
  await checkProperty(fc.json({maxDepth: 5}), async (bench, body) => {
    await checkResponses(bench, request('POST', '/v1/jobs', body));
    assert.isEmpty(bench.routed);
  });
});

test('a submission with an arbitrary field runs or is refused as not run', async () => {
  const field = fc.constantFrom(...Object.keys(VALID), '__proto__', 'extra');
  const input = fc.tuple(field, fc.jsonValue());
  await checkProperty(input, async (bench, [name, value]) => {
    const body = JSON.stringify({...VALID, [name]: value});
    const bytes = request('POST', '/v1/jobs', body);
    const client = new RawHttpClient(bench.port);
    const before = bench.routed.length;
    client.send(bytes);
    const [res] = await client.read(1);
    client.close();
    const routedJobs = bench.routed.length - before;
    if (res?.status === 200) {
      assert.equal(routedJobs, 1);
    } else {
      assert.equal(res?.status, 400);
      assert.propertyVal(JSON.parse(res!.body), 'outcome', 'not_run');
      assert.equal(routedJobs, 0);
    }
  });
});

test('an arbitrary path and method is refused and starts no job', async () => {
  const method = fc.constantFrom(
    'GET',
    'POST',
    'PUT',
    'DELETE',
    'HEAD',
    'OPTIONS',
  );
  const path = fc
    .array(
      fc.constantFrom(
        '/',
        '%',
        '%2',
        '%zz',
        '..',
        'v1',
        'jobs',
        '?',
        '#',
        'ack',
        '~',
        '//',
        '\u00ff',
        'x',
      ),
    )
    .map(parts => `/${parts.join('')}`);
  await checkProperty(
    fc.tuple(method, path),
    async (bench, [requestMethod, url]) => {
      const bytes = Buffer.from(request(requestMethod, url), 'latin1');
      const [status] = await checkResponses(bench, bytes);
      assert.isTrue(status === undefined || status >= 400 || url === '/');
      assert.isEmpty(bench.routed);
    },
  );
});

test('arbitrary header values start no job', async () => {
  const name = fc.constantFrom(
    'content-type',
    'content-length',
    'transfer-encoding',
    'idempotency-key',
    'content-encoding',
    'expect',
    'host',
    'connection',
  );
  const value = fc.oneof(
    fc.string({maxLength: 60}),
    fc.constantFrom(
      'chunked',
      'application/json',
      '-1',
      '99999999999999999999',
      '0',
      'gzip, chunked',
      'close',
    ),
  );
  const headers = fc.dictionary(name, value, {minKeys: 1});
  await checkProperty(headers, async (bench, extra) => {
    // The body is invalid, so the request must not run with any headers.
    await checkResponses(bench, request('POST', '/v1/jobs', '{}', extra));
    assert.isEmpty(bench.routed);
  });
});

test('a submission truncated at any byte never runs', async () => {
  const fullRequest = request('POST', '/v1/jobs', JSON.stringify(VALID));
  const cutLength = fc.nat({max: fullRequest.length - 1});
  await checkProperty(cutLength, async (bench, length) => {
    await checkResponses(bench, fullRequest.slice(0, length));
    assert.isEmpty(bench.routed);
  });
});

test('a body with an invalid chunk never runs', async () => {
  const head = request('POST', '/v1/jobs', undefined, {
    'content-type': 'application/json',
    'transfer-encoding': 'chunked',
  });
  const body = JSON.stringify(VALID);
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  const tail = fc.string({maxLength: 20}).filter(t => !t.startsWith('0'));
  await checkProperty(tail, async (bench, garbage) => {
    await checkResponses(bench, `${head}${chunk}${garbage}`);
    assert.isEmpty(bench.routed);
  });
});
