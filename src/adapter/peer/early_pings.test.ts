import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {assert} from 'chai';
import {waitUntil} from '../../../test-support/cluster/wait_until.js';
import {FakeClock} from '../../../test-support/fakes/fake_clock.js';
import {FrameCodec} from './frame_codec.js';
import {PeerLink} from './peer_link.js';

const TIMING = {busyMs: 250, idleMs: 400, quietMs: 3_000};
const STEP_MS = 50;
/** Real time in which an answer arrives before the clock goes on. */
const ANSWER_MS = 4;

/** The other end of a link. */
interface Peer {
  /** Types of the frames of each chunk that has arrived. */
  readonly chunks: string[][];
  connections: number;
  answersPings: boolean;
}

interface Bench {
  readonly link: PeerLink;
  readonly peer: Peer;
  readonly pass: (ms: number) => Promise<void>;
}

async function withLink(check: (bench: Bench) => Promise<void>): Promise<void> {
  const peer: Peer = {chunks: [], connections: 0, answersPings: true};
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    peer.connections += 1;
    const codec = new FrameCodec();
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const types = codec
        .push(chunk)
        .unwrapOr([])
        .map(({type}) => type);
      peer.chunks.push(types);
      if (!peer.answersPings || !types.includes('ping')) return;
      socket.write(FrameCodec.encode({type: 'pong'}));
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address() as AddressInfo;
  const clock = new FakeClock();
  const pass = async (ms: number) => {
    for (let at = 0; at < ms; at += STEP_MS) {
      clock.advance(STEP_MS);
      await sleep(ANSWER_MS);
    }
  };
  const address = {node: 'b', host: '127.0.0.1', port};
  const link = new PeerLink('a', address, clock, TIMING);
  try {
    await waitUntil('the link', () => link.isConnected);
    await pass(1_000);
    peer.chunks.length = 0;
    await check({link, peer, pass});
  } finally {
    link.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function sendMessage(link: PeerLink): void {
  link.send({type: 'message', kind: 'x', body: undefined});
}

// Guards against a ping of its own for each message, which wakes both processes a
// second time.
test('the first message after a quiet time and its ping arrive together', () =>
  withLink(async ({link, peer, pass}) => {
    sendMessage(link);
    await pass(2_500);
    assert.deepEqual(peer.chunks, [['message', 'ping']]);
  }));

// Guards against a ping for each of many messages.
test('messages in quick succession share a ping', () =>
  withLink(async ({link, peer, pass}) => {
    for (let n = 0; n < 20; n += 1) {
      sendMessage(link);
      await pass(100);
    }
    const pings = peer.chunks.flat().filter(type => type === 'ping');
    assert.isAtLeast(pings.length, 4);
    assert.isAtMost(pings.length, 6);
  }));

// Guards against a message that no ping checks, as the answer to the ping before it
// arrives after it.
test('a message just after a ping is checked by another ping', () =>
  withLink(async ({link, peer, pass}) => {
    sendMessage(link);
    sendMessage(link);
    await sleep(ANSWER_MS);
    sendMessage(link);
    await pass(1_000);
    const types = peer.chunks.flat();
    assert.isAbove(types.lastIndexOf('ping'), types.lastIndexOf('message'));
  }));

// Guards against the loss of a connection to a process that is late for a second.
test('a process that answers late has as long as without an early ping', () =>
  withLink(async ({link, peer, pass}) => {
    peer.answersPings = false;
    sendMessage(link);
    await pass(3 * TIMING.idleMs - 2 * STEP_MS);
    assert.isTrue(link.isConnected);
    await pass(4 * STEP_MS);
    assert.isFalse(link.isConnected);
    peer.answersPings = true;
    await pass(1_000);
    assert.equal(peer.connections, 2);
  }));
