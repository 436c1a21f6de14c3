import {assert} from 'chai';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {RecordingPeers} from '../../../../test-support/fakes/pool/recording_peers.js';
import {NodeDirectory} from '../node/node_directory.js';
import {CancelNotifier} from './cancel_notifier.js';

function createNotifier() {
  const clock = new FakeClock();
  const peers = new RecordingPeers(clock);
  const directory = new NodeDirectory('e', ['c1', 'c2']);
  const notifier = new CancelNotifier({peers, directory});
  const record = (...ids: string[]) => {
    for (const id of ids) notifier.record(id, clock.now());
  };
  const announce = (term: number) => {
    const heardAt = clock.now();
    const token = term * 1_000;
    const claim = {term, token, heardAt, isFallback: false, revision: 1};
    directory.claims.record({...claim, node: 'c1'});
  };
  /** Ids that were sent since the last call, by message. */
  const sent = () =>
    peers.sent.splice(0).map(({node, body}) => {
      return [node, ...(body as {ids: string[]}).ids].join(' ');
    });
  const tick = (ms: number) => {
    clock.advance(ms);
    notifier.tick(clock.now());
  };
  return {record, announce, sent, tick};
}

// Waves of cancels must not cost a message to each core node for each of them.
test('cancels of 100 ms share a message to each core node', () => {
  const {record, sent, tick} = createNotifier();
  record('a', 'b');
  tick(1);
  assert.deepEqual(sent(), ['c1 a b', 'c2 a b']);
  record('c');
  tick(50);
  record('d');
  tick(40);
  assert.isEmpty(sent());
  tick(10);
  assert.deepEqual(sent(), ['c1 c d', 'c2 c d']);
  tick(1_000);
  assert.isEmpty(sent());
});

// A core process that starts again has lost its memory of cancels.
test('a new dispatcher is sent all recent cancels, twice', () => {
  const {record, announce, sent, tick} = createNotifier();
  announce(1);
  tick(1);
  record('a');
  tick(1);
  sent();
  announce(2);
  tick(1);
  assert.deepEqual(sent(), ['c1 a']);
  // The first message may have been lost with a link that was not open yet.
  for (let n = 0; n < 4; n += 1) {
    announce(2);
    tick(300);
  }
  assert.deepEqual(sent(), ['c1 a']);
  announce(2);
  tick(3_000);
  assert.isEmpty(sent());
});

// A frame has a maximum size, above which a link is closed.
test('many cancels are sent in several messages', () => {
  const {record, sent, tick} = createNotifier();
  record(...Array.from({length: 1_001}, (_, n) => `j${n}`));
  tick(1);
  const sizes = sent().map(message => message.split(' ').length - 1);
  assert.deepEqual(sizes, [500, 500, 1, 500, 500, 1]);
});
