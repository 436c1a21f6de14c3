import {connect} from 'node:net';
import {assert} from 'chai';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import {SystemClock} from '../system_clock.js';
import type {LinkTiming} from './link_timing.js';
import {TcpPeerTransport} from './tcp_peer_transport.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 5_000;

interface Pair {
  readonly a: TcpPeerTransport;
  readonly b: TcpPeerTransport;
  /** Relay on the connection from a to b. */
  readonly relay: TcpRelay;
  readonly errors: string[];
  readonly portOfB: number;
}

/** Runs `check` with two nodes, of which a connects to b through a relay. */
async function withPair(
  check: (pair: Pair) => Promise<void>,
  linkTiming?: LinkTiming,
): Promise<void> {
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
    ...(linkTiming ? {linkTiming} : {}),
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
  test(`an unresponsive connection is replaced: ${direction}`, () =>
    withPair(async ({a, b, relay}) => {
      let handled = 0;
      b.onRequest('count', async () => (handled += 1));
      const openedBefore = relay.openedCount;
      relay.silence(direction);
      const lost = await a.request('b', 'count', null, TIMEOUT_MS);
      // The heartbeat fails the request long before the request timeout.
      assert.equal(lost.isErr && lost.error.detail, 'no reply to 2 pings');
      await waitUntil('a new connection', () => a.connected().length === 1);
      assert.equal(relay.openedCount, openedBefore + 1);
      const handledBefore = handled;
      const retried = await a.request('b', 'count', null, TIMEOUT_MS);
      assert.equal(retried.isOk && retried.value, handledBefore + 1);
      assert.isAtMost(handledBefore, 1);
    }));
}

test('an error in a request handler fails only its request', () =>
  withPair(async ({a, b, errors}) => {
    b.onRequest('broken', async () => {
      throw new Error('handler failed');
    });
    b.onRequest('echo', async (_, body) => body);
    const failed = await a.request('b', 'broken', null, TIMEOUT_MS);
    assert.equal(failed.isErr && failed.error.kind, 'failed');
    const local = await b.request('b', 'broken', null, TIMEOUT_MS);
    assert.equal(local.isErr && local.error.kind, 'failed');
    assert.lengthOf(errors, 2);
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
  }));

test('an error in a message handler leaves the connection open', () =>
  withPair(async ({a, b, errors}) => {
    b.onMessage('broken', () => {
      throw new Error('handler failed');
    });
    b.onRequest('echo', async (_, body) => body);
    a.send('b', 'broken', null);
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
    assert.lengthOf(errors, 1);
  }));

test('a request without a handler fails before its timeout', () =>
  withPair(async ({a}) => {
    const failed = await a.request('b', 'missing', null, TIMEOUT_MS);
    assert.equal(failed.isErr && failed.error.kind, 'failed');
  }));

test('requests are served during 200 connections from unknown nodes', () =>
  withPair(async ({a, b, portOfB}) => {
    b.onRequest('echo', async (_, body) => body);
    const sockets = Array.from({length: 200}, () => {
      const socket = connect({host: HOST, port: portOfB});
      socket.on('error', () => undefined);
      return socket;
    });
    const echo = await a.request('b', 'echo', 7, TIMEOUT_MS);
    assert.equal(echo.isOk && echo.value, 7);
    // Connections without a hello frame are closed after a timeout.
    await waitUntil('the close of all connections', () =>
      sockets.every(socket => socket.closed || socket.destroyed),
    );
  }));

test('an invalid frame closes only its own connection', () =>
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

// Links without traffic are pinged rarely. The first message that is lost on one
// must get it replaced as soon as if it were busy.
test('a quiet link that turns silent is replaced after the next message', () =>
  withPair(
    async ({a, b, relay}) => {
      const received: unknown[] = [];
      b.onMessage('note', (_from, body) => void received.push(body));
      const openedBefore = relay.openedCount;
      relay.silence('to_target');
      a.send('b', 'note', 1);
      await waitUntil('a new connection', () => {
        return relay.openedCount > openedBefore;
      });
      await waitUntil('a message on it', () => {
        a.send('b', 'note', 2);
        return received.length > 0;
      });
      assert.notInclude(received, 1);
    },
    {busyMs: 50, idleMs: 50, quietMs: 3_600_000},
  ));
