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

// A candidate that leads in a term which it forgets in a crash could be elected in the
// same term again, and store other entries under it.
test('a candidate leads only after its own vote is synced', () => {
  const bench = new LogMemberBench();
  bench.join();
  bench.waitForVotes(2, true);
  const vote = {type: 'vote_reply', term: 2, granted: true};
  bench.receive('b', {...vote, pre: true});
  bench.receive('b', {...vote, pre: false});
  bench.receive('c', {...vote, pre: false});
  assert.isUndefined(bench.member.leader);
  bench.clock.advance(100);
  assert.isDefined(bench.member.leader);
});
