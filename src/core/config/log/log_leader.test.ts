import {assert} from 'chai';
import {LogMemberBench} from '../../../../test-support/fakes/log_member_bench.js';

/** Time for which replies wait until the leader reads them. */
const LATE_MS = 300;

// Guards against orders of a deposed leader: one that reads replies late would count
// itself confirmed at a time at which another member may lead.
test('a majority confirms a leader when it was asked, not when that is read', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.elect();
  bench.tickFor(1_000);
  const [sent] = bench.sent('append').slice(-1);
  const askedAt = bench.clock.now();
  bench.member.leader!.confirmLeadership(askedAt, () => undefined);
  const asked = bench.sent('append').at(-1) as {round: number};
  assert.isAbove(asked.round, (sent as {round: number}).round);
  bench.clock.advance(LATE_MS);
  bench.receive('b', {
    type: 'append_reply',
    term: 2,
    round: asked.round,
    ok: true,
    match: 3,
    last: 3,
  });
  const {leader} = bench.member;
  assert.equal(leader!.leadershipConfirmedAt(bench.clock.now()), askedAt);
});

// Guards against leases of an earlier leader that are taken for expired too early: the
// time for which votes wait until the candidate reads them tells nothing.
test('the silence before a term is the one that its voters have stated', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.waitForVotes(2, true);
  const vote = {type: 'vote_reply', term: 2, granted: true};
  bench.receive('b', {...vote, pre: true, silent_ms: 5_000});
  bench.clock.advance(LATE_MS);
  bench.receive('b', {...vote, pre: false, silent_ms: 40});
  bench.clock.advance(LATE_MS);
  assert.equal(bench.member.leader!.msWithoutLeader, 40);
});
