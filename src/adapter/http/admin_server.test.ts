import {assert} from 'chai';
import fc from 'fast-check';
import {request} from 'undici';
import {AdminServerBench} from '../../../test-support/fakes/admin_server_bench.js';

type Body = Record<string, unknown>;

interface Call {
  readonly token?: string;
  readonly version?: number;
  readonly key?: string;
  readonly body?: unknown;
}

let bench: AdminServerBench;
setup(async () => {
  bench = await AdminServerBench.start();
});
teardown(() => bench.stop());

async function call(
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  {token = AdminServerBench.TOKEN, version, key, body}: Call = {},
): Promise<{status: number; body: Body; etag: unknown}> {
  const res = await request(`${bench.url}${path}`, {
    method,
    headers: {
      connection: 'close',
      authorization: `Bearer ${token}`,
      ...(version === undefined ? {} : {'if-match': `"${version}"`}),
      ...(key === undefined ? {} : {'idempotency-key': key}),
      ...(body === undefined ? {} : {'content-type': 'application/json'}),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const json = (await res.body.json()) as Body;
  return {status: res.statusCode, body: json, etag: res.headers['etag']};
}

test('a request without the right token is refused and changes nothing', async () => {
  for (const token of ['', 'bench-tokem', 'bench-token2', 'BENCH-TOKEN']) {
    const res = await call('POST', '/v1/drain', {token});
    assert.equal(res.status, 401);
    assert.equal(res.body['outcome'], 'not_run');
  }
  const unauthenticated = await request(`${bench.url}/v1/classes`, {
    headers: {connection: 'close'},
  });
  await unauthenticated.body.dump();
  assert.equal(unauthenticated.statusCode, 401);
  assert.equal(unauthenticated.headers['www-authenticate'], 'Bearer');
  assert.equal(bench.drainCount, 0);
});

test('a class can be set, read with its version and deleted', async () => {
  const body = {target_ms: 500};
  const update = await call('PUT', '/v1/classes/render', {
    version: 1,
    key: 'k1',
    body,
  });
  assert.deepEqual(
    [update.status, update.body['version'], update.etag],
    [200, 2, '"2"'],
  );
  const read = await call('GET', '/v1/classes/render');
  assert.equal(read.etag, '"2"');
  assert.include(read.body, {
    name: 'render',
    target_ms: 500,
    repeatable: false,
  });
  const deleted = await call('DELETE', '/v1/classes/render', {
    version: 2,
    key: 'k2',
  });
  assert.equal(deleted.status, 200);
  assert.equal((await call('GET', '/v1/classes/render')).status, 404);
});

test('a change for an outdated version is refused with version and diff', async () => {
  const set = (key: string, target: number) =>
    call('PUT', '/v1/classes/render', {
      version: 1,
      key,
      body: {target_ms: target},
    });
  assert.equal((await set('k1', 500)).status, 200);
  const rejected = await set('k2', 600);
  assert.equal(rejected.status, 412);
  assert.include(rejected.body, {outcome: 'not_run', version: 2});
  const [change] = rejected.body['changes'] as Body[];
  assert.equal(change?.['path'], 'classes/render');
  assert.propertyVal(change?.['after'], 'target_ms', 500);
});

test('a repeated change returns its first outcome', async () => {
  const set = () =>
    call('PUT', '/v1/classes/render', {
      version: 1,
      key: 'k',
      body: {target_ms: 5},
    });
  assert.deepEqual((await set()).body, {version: 2});
  await call('PUT', '/v1/tenants/t', {version: 2, key: 'k2', body: {}});
  assert.deepEqual((await set()).body, {version: 2});
  assert.equal(bench.source.current().version, 3);
});

test('an idempotency key of another change is refused', async () => {
  await call('PUT', '/v1/tenants/a', {version: 1, key: 'k', body: {}});
  const res = await call('PUT', '/v1/tenants/b', {
    version: 2,
    key: 'k',
    body: {},
  });
  assert.deepEqual([res.status, res.body['outcome']], [422, 'not_run']);
});

test('a change without version or idempotency key is refused', async () => {
  const body = {target_ms: 5};
  const noVersion = await call('PUT', '/v1/classes/a', {key: 'k', body});
  assert.equal(noVersion.status, 428);
  const noKey = await call('PUT', '/v1/classes/a', {version: 1, body});
  assert.equal(noKey.status, 400);
  assert.equal(bench.source.current().version, 1);
});

test('a change of voters without a configuration log is refused', async () => {
  const res = await call('POST', '/v1/voters', {
    version: 1,
    key: 'k',
    body: {action: 'add', node: 'a2'},
  });
  assert.deepEqual([res.status, res.body['outcome']], [501, 'not_run']);
  assert.equal((await call('GET', '/v1/voters')).status, 200);
});

test('a change with an arbitrary body takes effect or is refused as not run', async () => {
  const body = fc.oneof(
    fc.jsonValue(),
    fc.dictionary(
      fc.constantFrom(
        'target_ms',
        'percentile',
        'repeatable',
        'name',
        '__proto__',
      ),
      fc.jsonValue(),
    ),
  );
  const path = fc.constantFrom(
    '/v1/classes/a',
    '/v1/tenants/a',
    '/v1/voters',
    '/v1/classes/__proto__',
    '/v1/classes/%2F',
  );
  let keys = 0;
  await fc.assert(
    fc.asyncProperty(path, body, async (url, value) => {
      const {version} = bench.source.current();
      keys += 1;
      const method = url === '/v1/voters' ? 'POST' : 'PUT';
      const res = await call(method, url, {
        version,
        key: `k${keys}`,
        body: value,
      });
      const after = bench.source.current().version;
      if (res.status === 200) {
        assert.equal(after, version + 1);
        return;
      }
      assert.include([400, 501], res.status);
      assert.equal(res.body['outcome'], 'not_run');
      assert.equal(after, version);
    }),
    {numRuns: 200},
  );
});

test('a zone is evacuated and restored, and a repeated order changes nothing', async () => {
  const put = (evacuated: boolean) =>
    call('PUT', '/v1/zones/medeu', {body: {evacuated}});
  assert.deepEqual((await put(true)).body, {version: 2});
  assert.deepEqual((await put(true)).body, {version: 2});
  assert.deepEqual((await call('GET', '/v1/zones')).body, {
    version: 2,
    zones: [
      {name: 'arbat', evacuated: false},
      {name: 'medeu', evacuated: true},
    ],
  });
  assert.deepEqual((await put(false)).body, {version: 3});
});

test('an order for an unknown zone or with a wrong body is refused', async () => {
  const unknown = await call('PUT', '/v1/zones/nowhere', {
    body: {evacuated: true},
  });
  assert.deepEqual([unknown.status, unknown.body['outcome']], [404, 'not_run']);
  assert.include(String(unknown.body['detail']), 'nowhere');
  for (const body of [{}, {evacuated: 'yes'}, {evacuated: true, x: 1}, [], 1]) {
    const res = await call('PUT', '/v1/zones/arbat', {body});
    assert.equal(res.status, 400, JSON.stringify(body));
  }
  assert.equal(bench.source.current().version, 1);
});
