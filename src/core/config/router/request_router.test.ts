import {assert} from 'chai';
import {Result} from 'true-myth';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';
import {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import {RequestRouter} from './request_router.js';

/** Records sent messages and delivers messages crafted by the test. */
class RecordingPeers extends PeerTransport {
  readonly sent: Array<{kind: string; body: unknown}> = [];

  override send(_node: string, kind: string, body: unknown): void {
    this.sent.push({kind, body});
  }

  override request(): Promise<Result<unknown, never>> {
    return Promise.resolve(Result.ok(undefined));
  }

  deliver(kind: string, body: unknown): void {
    this.messageHandlers.get(kind)?.('leader', body, 0);
  }
}

function routerOf(peers: RecordingPeers, random: RandomSource): RequestRouter {
  return new RequestRouter({
    node: 'n',
    peers,
    random,
    getLeader: () => 'leader',
    noteLeader: () => undefined,
    serve: () => undefined,
  });
}

function idOf(peers: RecordingPeers): number {
  return (peers.sent[0]!.body as {id: number}).id;
}

// When request ids started at the same number after a restart, the response to
// a change of the earlier process was taken for the acceptance of another
// change, which was not in the log.
test('a response to an earlier process of the node is ignored', () => {
  const random = new SeededRandom(1);
  const before = new RecordingPeers();
  routerOf(before, random).submit({kind: 'read'}, 0, () => undefined);
  const after = new RecordingPeers();
  const answers: unknown[] = [];
  const router = routerOf(after, random);
  router.submit({kind: 'read'}, 0, answer => answers.push(answer));
  const response = {kind: 'accepted', version: 2};
  after.deliver('config.response', {id: idOf(before), response});
  assert.deepEqual(answers, []);
  after.deliver('config.response', {id: idOf(after), response});
  assert.deepEqual(answers, [response]);
});
