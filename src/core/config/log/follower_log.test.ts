import {assert} from 'chai';
import {LogMemberBench} from '../../../../test-support/fakes/log_member_bench.js';

const VOTE = {
  type: 'vote',
  term: 2,
  pre: false,
  transfer: false,
  last_index: 5,
  last_term: 1,
};

// A vote lost in a crash could be given again to another candidate of the term.
test('a vote is granted only after it is synced', () => {
  const bench = new LogMemberBench();
  bench.receive('b', VOTE);
  assert.lengthOf(bench.sent('vote_reply'), 0);
  bench.clock.advance(100);
  assert.lengthOf(bench.sent('vote_reply'), 1);
  bench.receive('c', VOTE);
  bench.clock.advance(100);
  assert.deepInclude(bench.sent('vote_reply')[1], {granted: false, to: 'c1'});
});

// As a leader, it would overwrite entries that this member has acknowledged.
test('a candidate with a shorter log gets no vote', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.clock.advance(5_000);
  bench.receive('c', {...VOTE, last_index: 1});
  bench.clock.advance(100);
  assert.deepInclude(bench.sent('vote_reply')[0], {granted: false});
  bench.receive('c', {...VOTE, term: 3, last_index: 2});
  bench.clock.advance(100);
  assert.deepInclude(bench.sent('vote_reply')[1], {granted: true});
});

// A crash could lose an acknowledged entry that counts towards the majority.
test('a snapshot is acknowledged only after it is synced', () => {
  const bench = new LogMemberBench();
  bench.receive('b', {
    type: 'snapshot',
    snapshot: bench.snapshot,
    round: 0,
  });
  assert.isEmpty(bench.sent('append_reply'));
  bench.clock.advance(100);
  assert.nestedPropertyVal(bench.sent('append_reply'), '[0].match', 1);
});

// The data folder that the candidate counts as a voter has been lost.
test('a message for an earlier folder of the node gets no reply', () => {
  const bench = new LogMemberBench();
  bench.receive('b', {...VOTE, to: 'lost'});
  bench.clock.advance(100);
  assert.isEmpty(bench.peers.sent);
});

// A later leader can still overwrite an entry of an earlier term, even if it is
// stored on a majority.
test('entries of earlier terms are committed only with a current one', () => {
  const bench = new LogMemberBench();
  bench.join();
  const {member, clock} = bench;
  clock.advance(5_000);
  member.tick(clock.now());
  clock.advance(100);
  bench.receive('c', {type: 'vote_reply', term: 2, pre: true, granted: true});
  clock.advance(100);
  bench.receive('c', {type: 'vote_reply', term: 2, pre: false, granted: true});
  clock.advance(100);
  assert.equal(member.role, 'leader');
  const reply = {type: 'append_reply', term: 2, ok: true, round: 0};
  bench.receive('c', {...reply, match: 2, last: 2});
  assert.equal(member.commitIndex, 1);
  bench.receive('c', {...reply, match: 3, last: 3});
  assert.equal(member.commitIndex, 3);
});

test('a delayed snapshot does not revert the state', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.receive('b', {
    type: 'append',
    prev_index: 2,
    prev_term: 1,
    entries: [],
    commit: 2,
    round: 0,
  });
  assert.equal(bench.member.state!.current.version, 2);
  bench.receive('b', {type: 'snapshot', snapshot: bench.snapshot, round: 0});
  assert.equal(bench.member.state!.current.version, 2);
  assert.equal(bench.member.commitIndex, 2);
});
