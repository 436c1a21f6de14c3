import {connect} from 'node:net';
import {assert} from 'chai';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import {SystemClock} from '../system_clock.js';
import {TcpPeerTransport} from './tcp_peer_transport.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 5_000;

interface Pair {
  readonly a: TcpPeerTransport;
  readonly b: TcpPeerTransport;
  /** On the way from a to b. */
  readonly relay: TcpRelay;
  readonly errors: string[];
  readonly portOfB: number;
}

/** Two nodes; a reaches b through a relay. */
async function withPair(check: (pair: Pair) => Promise<void>): Promise<void> {
  const [portOfA = 0, portOfB = 0] = await findFreePorts(2);
  const relay = await TcpRelay.listen(portOfB);
  const errors: string[] = [];
  const clock = new SystemClock();
  const onError = (detail: string) => void errors.push(detail);
  const a = new TcpPeerTransport({
    node: 'a',
    listen: {host: HOST, port: portOfA},
    peers: [{node: 'b', host: HOST, port: relay.port}],
    clock,
    onError,
  });
  const b = new TcpPeerTransport({
    node: 'b',
    listen: {host: HOST, port: portOfB},
    peers: [{node: 'a', host: HOST, port: portOfA}],
    clock,
    onError,
  });
  try {
    await Promise.all([a.start(), b.start()]);
    await waitUntil('both links', () => {
      return a.connected().length === 1 && b.connected().length === 1;
    });
    await check({a, b, relay, errors, portOfB});
  } finally {
    await Promise.all([a.stop(), b.stop()]);
    await relay.close();
  }
}

for (const direction of ['to_target', 'to_client', 'both'] as const) {
  test(`a peer link silent ${direction} is replaced`, () =>
    withPair(async ({a, b, relay}) => {
      let handled = 0;
      b.onRequest('count', async () => (handled += 1));
      const opened = relay.openedCount;
      relay.silence(direction);
      const lost = await a.request('b', 'count', null, TIMEOUT_MS);
      // The heartbeat ends the request long before its own time-out.
      assert.equal(
        lost.isErr && lost.error.detail,
        'the connection went silent',
      );
      await waitUntil('a new link', () => a.connected().length === 1);
      assert.equal(relay.openedCount, opened + 1);
      const before = handled;
      const again = await a.request('b', 'count', null, TIMEOUT_MS);
      assert.equal(again.isOk && again.value, before + 1);
      assert.isAtMost(before, 1);
    }));
}

test('a request handler that throws fails its request only', () =>
  withPair(async ({a, b, errors}) => {
    b.onRequest('broken', async () => {
      throw new Error('no such luck');
    });
    b.onRequest('echo', async (_, body) => body);
    const failed = await a.request('b', 'broken', null, TIMEOUT_MS);
    assert.equal(failed.isErr && failed.error.kind, 'failed');
    const own = await b.request('b', 'broken', null, TIMEOUT_MS);
    assert.equal(own.isErr && own.error.kind, 'failed');
    assert.lengthOf(errors, 2);
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
  }));

test('a message handler that throws leaves the link open', () =>
  withPair(async ({a, b, errors}) => {
    b.onMessage('broken', () => {
      throw new Error('no such luck');
    });
    b.onRequest('echo', async (_, body) => body);
    a.send('b', 'broken', null);
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
    assert.lengthOf(errors, 1);
  }));

test('a request without a handler does not hang', () =>
  withPair(async ({a}) => {
    const failed = await a.request('b', 'missing', null, TIMEOUT_MS);
    assert.equal(failed.isErr && failed.error.kind, 'failed');
  }));

test('a storm of connections leaves the peers served', () =>
  withPair(async ({a, b, portOfB}) => {
    b.onRequest('echo', async (_, body) => body);
    const storm = Array.from({length: 200}, () => {
      const socket = connect({host: HOST, port: portOfB});
      socket.on('error', () => undefined);
      return socket;
    });
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
    // Connections that never name a node are dropped.
    await waitUntil('the end of the storm', () =>
      storm.every(socket => socket.closed || socket.destroyed),
    );
  }));

test('bytes that are no frames end their connection only', () =>
  withPair(async ({a, b, errors, portOfB}) => {
    b.onRequest('echo', async (_, body) => body);
    const socket = connect({host: HOST, port: portOfB});
    socket.on('error', () => undefined);
    socket.write(Buffer.alloc(64, 0xff));
    await waitUntil('the close', () => socket.destroyed || socket.closed);
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
    assert.lengthOf(errors, 1);
  }));
