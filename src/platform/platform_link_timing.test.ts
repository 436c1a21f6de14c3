import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {assert} from 'chai';
import {waitUntil} from '../../test-support/cluster/wait_until.js';
import {FakeClock} from '../../test-support/fakes/fake_clock.js';
import {FrameCodec} from '../adapter/peer/frame_codec.js';
import {PeerLink} from '../adapter/peer/peer_link.js';
import {PLATFORM_LINK_TIMING} from './platform_link_timing.js';

/** Interval of the presence messages on most links. */
const PRESENCE_MS = 2_500;
const STEP_MS = 50;
/** Real time in which an answer arrives before the clock goes on. */
const ANSWER_MS = 4;
const MESSAGES = 6;

/** Listens on a free port, answers pings, and counts them. */
async function listen() {
  const counts = {pings: 0};
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    const codec = new FrameCodec();
    socket.on('data', chunk => {
      const frames = codec.push(chunk);
      for (const {type} of frames.isOk ? frames.value : []) {
        if (type !== 'ping') continue;
        counts.pings += 1;
        socket.write(FrameCodec.encode({type: 'pong'}));
      }
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const close = () => {
    for (const socket of sockets) socket.destroy();
    server.close();
  };
  return {counts, close, port: (server.address() as AddressInfo).port};
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

// Guards against a ping just before each message, beside the one after it. Each
// entry node has such a link to every core node and to each node of its zone.
test('a link with periodic presence messages has one ping for each', async () => {
  const {counts, close, port} = await listen();
  const clock = new FakeClock();
  const address = {node: 'b', host: '127.0.0.1', port};
  const link = new PeerLink('a', address, clock, PLATFORM_LINK_TIMING);
  const pass = async (ms: number) => {
    for (let at = 0; at < ms; at += STEP_MS) {
      clock.advance(STEP_MS);
      await sleep(ANSWER_MS);
    }
  };
  try {
    await waitUntil('the link', () => link.isConnected);
    await pass(2 * PLATFORM_LINK_TIMING.idleMs);
    const before = counts.pings;
    for (let n = 0; n < MESSAGES; n += 1) {
      link.send({type: 'message', kind: 'x', body: undefined});
      await pass(PRESENCE_MS);
    }
    assert.equal(counts.pings - before, MESSAGES);
  } finally {
    link.close();
    close();
  }
});
