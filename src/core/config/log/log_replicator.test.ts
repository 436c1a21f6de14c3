import {assert} from 'chai';
import {createPlatformConfigBench} from '../../../../test-support/fakes/create_platform_config_bench.js';
import {LogMemberBench} from '../../../../test-support/fakes/log_member_bench.js';

const DOCUMENTS = 100;
const DOCUMENT_BYTES = 10_000;

// Each reply to an earlier heartbeat sent another copy of a batch, ten a second on late
// event loops.
test('a batch on its way is not sent again for replies to earlier messages', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.elect();
  const reply = {type: 'append_reply', term: 2, match: 0, last: 0};
  const {round} = bench.sent('append').at(-1) as {round: number};
  bench.receive('c', {...reply, ok: false, round});
  assert.lengthOf(bench.sent('snapshot'), 1);
  bench.receive('c', {...reply, ok: false, round: round - 1});
  bench.receive('c', {...reply, ok: false, round});
  assert.lengthOf(bench.sent('snapshot'), 1);
});

// A lost batch must not wait for another one.
test('a batch is sent again when a later message was answered without it', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.elect();
  const reply = {type: 'append_reply', term: 2, match: 0, last: 0};
  const {round} = bench.sent('append').at(-1) as {round: number};
  bench.receive('c', {...reply, ok: false, round});
  bench.receive('c', {...reply, ok: false, round: round + 2});
  assert.lengthOf(bench.sent('snapshot'), 2);
});

// Replaying the log took many round trips; the voter was missing when the next disks
// were lost.
test('a new member gets the newest state and not the history', () => {
  const bench = createPlatformConfigBench({seed: 1, followers: 1});
  bench.startAll();
  const voters = () =>
    bench.node(bench.waitForLeader()).logMember!.store.members.voters;
  bench.waitUntil('five voters', () => voters().length === 5);
  for (let revision = 1; revision <= DOCUMENTS; revision += 1) {
    const content = 'x'.repeat(DOCUMENT_BYTES);
    bench.request('v1', {kind: 'publish', document: {revision, content}});
  }
  const leader = bench.waitForLeader();
  const lost = voters().find(({node}) => node !== leader)!.node;
  bench.crashAndWipe(lost);
  bench.peers.bytes.clear();
  bench.start(lost);
  bench.waitUntil('the revision', () => {
    const {logMember} = bench.node(lost);
    return logMember?.state?.current.document?.revision === DOCUMENTS;
  });
  assert.isBelow(bench.peers.bytes.get(lost)!, 10 * DOCUMENT_BYTES);
});
