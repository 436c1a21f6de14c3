import {once} from 'node:events';
import {createServer} from 'node:http';
import type {RequestListener, Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {assert} from 'chai';
import {Pool} from 'undici';
import {SteadyClock} from '../steady_clock.js';
import {sendRequest} from './send_request.js';

const MAX_BYTES = 64 * 1024;

const clock = new SteadyClock();

async function withServer(
  listener: RequestListener,
  run: (pool: Pool) => Promise<void>,
): Promise<void> {
  const server: Server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`, {connections: 1});
  try {
    await run(pool);
  } finally {
    await pool.destroy();
    server.closeAllConnections();
    server.close();
  }
}

const post = (pool: Pool, timeoutMs: number, body = 'ab') =>
  sendRequest(
    pool,
    {method: 'POST', path: '/x', headers: {'x-a': '1'}, body},
    {timeoutMs, maxBytes: MAX_BYTES, clock},
  );

test('a request resolves with its complete response', () =>
  withServer(
    (req, res) => {
      let text = '';
      req.on('data', chunk => (text += String(chunk)));
      req.on('end', () => {
        res.statusCode = 409;
        res.write(`${req.method} ${req.url} `);
        res.end(`${String(req.headers['x-a'])} ${text} é`);
      });
    },
    async pool => {
      const res = await post(pool, 5_000);
      assert.deepEqual(res.unwrapOr(undefined as never), {
        status: 409,
        text: 'POST /x 1 ab é',
      });
    },
  ));

test('a request without a response times out and the next one succeeds', () => {
  let requests = 0;
  return withServer(
    (_req, res) => {
      requests += 1;
      if (requests > 1) res.end('late but fine');
    },
    async pool => {
      const first = await post(pool, 50);
      assert.include(first.isErr ? first.error.detail : '', 'no response');
      assert.isFalse(first.isErr && first.error.isRefused);
      const second = await post(pool, 5_000);
      assert.equal(second.isOk && second.value.text, 'late but fine');
    },
  );
});

// Guards against sending a request after its timeout was reported: the only
// connection is in use until then.
test('a request that times out while it waits for a connection is not sent', () => {
  const bodies: string[] = [];
  return withServer(
    (req, res) => {
      req.on('data', chunk => bodies.push(String(chunk)));
      req.on('end', () => setTimeout(() => res.end(), 150));
    },
    async pool => {
      const first = post(pool, 5_000, 'first');
      const second = await post(pool, 30, 'second');
      assert.isTrue(second.isErr);
      assert.isTrue((await first).isOk);
      await post(pool, 5_000, 'third');
      assert.deepEqual(bodies, ['first', 'third']);
    },
  );
});

test('a refused connection is an error', async () => {
  const pool = new Pool('http://127.0.0.1:1');
  const res = await post(pool, 5_000);
  assert.isTrue(res.isErr && res.error.isRefused);
  await pool.destroy();
});

// Guards against a server whose responses occupy the thread that all requests
// share.
test('a response that exceeds the limit is an error, and the next one succeeds', () => {
  let requests = 0;
  return withServer(
    (_req, res) => {
      requests += 1;
      res.end('x'.repeat(MAX_BYTES + (requests === 1 ? 1 : 0)));
    },
    async pool => {
      const tooLong = await post(pool, 5_000);
      assert.isTrue(tooLong.isErr && tooLong.error.detail.includes('exceeds'));
      const res = await post(pool, 5_000);
      assert.isTrue(res.isOk && res.value.text.length === MAX_BYTES);
    },
  );
});
