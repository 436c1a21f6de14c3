import {assert} from 'chai';
import {findFreePorts} from '../../../test-support/cluster/find_free_ports.js';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {TcpRelay} from '../../../test-support/relay/tcp_relay.js';
import type {Cancellable} from '../../core/clock/cancellable.js';
import {SystemClock} from '../system_clock.js';
import {PeerLink} from './peer_link.js';
import {PeerServer} from './peer_server.js';

const HOST = '127.0.0.1';
const TIMING = {busyMs: 25, idleMs: 40, quietMs: 400};

/** Counts the timers that run. */
class CountingClock extends SystemClock {
  fired = 0;

  override schedule(delayMs: number, task: () => void): Cancellable {
    return super.schedule(delayMs, () => {
      this.fired += 1;
      task();
    });
  }
}

interface Bench {
  readonly link: PeerLink;
  readonly clock: CountingClock;
  readonly relay: TcpRelay;
}

async function withLink(check: (bench: Bench) => Promise<void>): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  const server = new PeerServer({
    isAllowed: () => true,
    maxConnections: 10,
    onMessage: () => undefined,
    onRequest: () => Promise.resolve(undefined),
    onError: () => undefined,
  });
  await server.listen(port, HOST);
  const relay = await TcpRelay.listen(port);
  const clock = new CountingClock();
  const link = new PeerLink(
    'a',
    {node: 'b', host: HOST, port: relay.port},
    clock,
    TIMING,
  );
  try {
    await waitUntil('the link', () => link.isConnected);
    await sleep(200);
    await check({link, clock, relay});
  } finally {
    link.close();
    await server.close();
    await relay.close();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

// Guards against idle processor time that grows with the number of links: an entry
// node of a zone with twenty has a link to each of the others.
test('a quiet link wakes its process only for its pings', () =>
  withLink(async ({clock}) => {
    const before = clock.fired;
    await sleep(900);
    assert.isAtMost(clock.fired - before, 4);
  }));

// Guards against a dead connection that is noticed only at the next quiet ping.
test('a message on a quiet link is checked by a ping at once', () =>
  withLink(async ({link, relay}) => {
    const {openedCount} = relay;
    relay.silence('both');
    const sentAt = performance.now();
    link.send({type: 'message', kind: 'x', body: undefined});
    await waitUntil('a new connection', () => relay.openedCount > openedCount);
    const reconnectMs = 200;
    assert.isBelow(performance.now() - sentAt, TIMING.quietMs + reconnectMs);
  }));
