import {assert} from 'chai';
import {LogMemberBench} from '../../../../test-support/fakes/log_member_bench.js';

// On late event loops votes often arrive after the candidate's next pre-vote; they were
// forgotten, and no node was ever elected.
test('a vote that is read after the next pre-vote elects the candidate', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.waitForVotes(2, true);
  const vote = {type: 'vote_reply', term: 2, granted: true};
  bench.receive('b', {...vote, pre: true});
  bench.waitForVotes(3, true);
  bench.receive('b', {...vote, pre: false});
  assert.isDefined(bench.member.leader);
  assert.equal(bench.member.term, 2);
});

// The own vote could be lost in a crash and given again to another candidate.
test('a candidate counts its own vote only after it is synced', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.waitForVotes(2, true);
  const vote = {type: 'vote_reply', term: 2, granted: true};
  bench.receive('b', {...vote, pre: true});
  bench.receive('b', {...vote, pre: false});
  assert.isUndefined(bench.member.leader);
  bench.clock.advance(100);
  assert.isDefined(bench.member.leader);
});
