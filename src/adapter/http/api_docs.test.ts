import {readFileSync} from 'node:fs';
import {assert} from 'chai';
import {request} from 'undici';
import {LocalCluster} from '../../../test-support/cluster/local_cluster.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {readCurlExamples} from '../../../test-support/docs/read_curl_examples.js';
import {AdminServerBench} from '../../../test-support/fakes/admin_server_bench.js';
import {CallerServerBench} from '../../../test-support/fakes/caller_server_bench.js';
import {StandInUpstream} from '../../../test-support/upstream/stand_in_upstream.js';

const MIN_EXAMPLES = 25;
const PAGE = new URL('../../../../docs/api.md', import.meta.url);

async function newKey(entry: string): Promise<string> {
  const res = await request(`${entry}/v1/keys`, {method: 'POST'});
  return ((await res.body.json()) as {key: string}).key;
}

test('every request in docs/api.md works as written', async () => {
  const cluster = await LocalCluster.create([
    {id: 'a1', zone: 'arbat', voter: true},
  ]);
  const bench = await CallerServerBench.start();
  const upstream = new StandInUpstream({
    worker: 'doc',
    incarnation: '1',
    zone: 'arbat',
    slots: 1,
    connections: 1,
    entries: [bench.url],
  });
  try {
    await cluster.startAll();
    cluster.startUpstream('w1', 'arbat');
    await upstream.start();
    const {caller, admin, process: child} = cluster.node('a1');
    await waitUntil('the registration of the worker', async () => {
      const {out} = await cluster.cli('a1', 'status', '--json');
      return (JSON.parse(out) as {workers: number}).workers === 1;
    });
    let version = '';
    const examples = readCurlExamples(PAGE);
    assert.isAtLeast(examples.length, MIN_EXAMPLES);
    const variables = {
      ENTRY: caller,
      ADMIN: admin,
      TOKEN: LocalCluster.ADMIN_TOKEN,
      WORKER: upstream.address,
      KEY: await newKey(caller),
      LONG_KEY: await newKey(caller),
    };
    for (const example of examples) {
      const {method, url, headers, body, status} = example({
        ...variables,
        VERSION: version,
      });
      const res = await request(url, {method: method as 'GET', headers, body});
      const text = await res.body.text();
      const message = `${method} ${url}: ${res.statusCode} ${text}`;
      if (status === undefined) assert.notInclude([404, 405], res.statusCode);
      else assert.equal(res.statusCode, status, message);
      const etag = /^"(\d+)"$/.exec(String(res.headers['etag']));
      version = etag?.[1] ?? version;
    }
    // The last request in docs/api.md drains the daemon.
    await waitUntil('the exit of the daemon', () => child?.exitCode !== null);
    assert.equal(child?.exitCode, 0);
  } finally {
    await upstream.stop();
    await bench.server.drain();
    await cluster.stopAll();
  }
});

test('every route is documented in docs/api.md', () => {
  const text = readFileSync(PAGE, 'utf8');
  const requests = readCurlExamples(PAGE).map(example => {
    const {method, url} = example({
      ENTRY: 'http://entry',
      ADMIN: 'http://admin',
      WORKER: 'http://worker',
      TOKEN: '',
      VERSION: '1',
      KEY: 'KEY',
      LONG_KEY: 'KEY',
    });
    return `${method}${new URL(url).pathname}`;
  });
  const routes = [
    ...new CallerServerBench().server.http.routes(),
    ...new AdminServerBench().server.http.routes(),
  ];
  for (const route of routes) {
    const pattern = new RegExp(`^${route.replace(/:\w+/, '[^/]+')}$`);
    assert.isTrue(
      requests.some(each => pattern.test(each)),
      `${route} is not documented`,
    );
  }
  assert.include(text, 'application/problem+json');
});
