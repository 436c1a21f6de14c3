import {assert} from 'chai';
import {Result} from 'true-myth';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {recordedTelemetry} from '../../../../test-support/fakes/pool/recorded_telemetry.js';
import {RecordingPeers} from '../../../../test-support/fakes/pool/recording_peers.js';
import {NodeDirectory} from '../node/node_directory.js';
import {queryDispatchers} from './query_dispatchers.js';

const PENDING = {kind: 'pending', host: 'h', path: '/q/'} as const;

/** Queries a leader and a holder, whose claims state a revision. */
function query(replies: Readonly<Record<string, unknown>>, revision = 1) {
  const clock = new FakeClock();
  const peers = Object.assign(new RecordingPeers(clock), {
    request: (node: string) => Promise.resolve(Result.ok(replies[node])),
  });
  const directory = new NodeDirectory('e', ['c1']);
  const base = {token: 1_000, isFallback: false, heardAt: clock.now()};
  const grants = [{zone: 'z', node: 'c2', token: 1_001}];
  const leader = {...base, term: 1, node: 'c1', revision, grants};
  directory.claims.record(leader);
  const observer = recordedTelemetry().telemetry;
  return queryDispatchers({clock, peers, directory, observer}, PENDING);
}

// An entry node found a queue that the newest configuration no longer has, since the
// holder of a zone that had been cut off still had it.
test('only the newest configuration tells whether a queue exists', async () => {
  const older = {found: true, pending: 2, revision: 3};
  const newer = {found: false, revision: 4};
  assert.isFalse((await query({c1: newer, c2: older}))?.found);
  assert.isFalse((await query({c1: older, c2: newer}))?.found);
  assert.isUndefined(await query({c1: older, c2: older}, 4));
});

test('the jobs of a queue are counted at all dispatchers', async () => {
  const reply = {found: true, pending: 2, revision: 3};
  const older = {found: true, pending: 1, revision: 2};
  const answer = await query({c1: reply, c2: older});
  assert.deepEqual(answer, {found: true, pending: 3});
  assert.deepEqual(await query({c1: {found: true, pending: 2}, c2: reply}), {
    found: true,
    pending: 4,
  });
});

// The fallback of a zone has no jobs of other zones, whose dispatchers it can't reach.
test('a fallback alone does not tell that a job is unknown', async () => {
  const clock = new FakeClock();
  const reply = Result.ok({found: false});
  const peers = Object.assign(new RecordingPeers(clock), {
    request: () => Promise.resolve(reply),
  });
  const directory = new NodeDirectory('e', ['c1']);
  const base = {term: 1, revision: 1, heardAt: clock.now()};
  const lost = {...base, node: 'c1', token: 1_000, isFallback: false};
  directory.claims.record(lost);
  clock.advance(10_000);
  directory.claims.record({
    ...base,
    node: 'e1',
    token: 1_001,
    zone: 'a',
    isFallback: true,
    heardAt: clock.now(),
  });
  const observer = recordedTelemetry().telemetry;
  const opts = {clock, peers, directory, observer};
  const cancel = {kind: 'cancel', path: '/q/j', id: 'j'} as const;
  assert.isUndefined(await queryDispatchers(opts, cancel));
  const state = {kind: 'state', id: 'j'} as const;
  assert.isUndefined(await queryDispatchers(opts, state));
});
