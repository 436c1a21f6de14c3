import {assert} from 'chai';
import {GroupBench} from '../../../test-support/fakes/group_bench.js';
import type {JobEvent} from '../job/job_event.js';

function others(bench: GroupBench, ...nodes: string[]): string[] {
  return bench.members.filter(node => !nodes.includes(node));
}

/** Message that a leader would send to append one event. */
function appendOf(bench: GroupBench, node: string, key: string) {
  const {epoch, group, lastIndex} = bench.replica(node).status;
  const event: JobEvent = {kind: 'accepted', job: GroupBench.jobOf(key)};
  const index = lastIndex + 1;
  return {
    type: 'append',
    ...{epoch, group, settled: true, incarnation: 1},
    prevIndex: lastIndex,
    prevEpoch: epoch,
    entries: [{kind: 'events', index, epoch, events: [event]}],
    commit: index,
    trim: 0,
  };
}

// Guards against messages of a deposed leader that arrive after the next leader
// was elected.
test('an append of a deposed leader is refused', () => {
  const bench = new GroupBench();
  const first = bench.awaitLeader();
  bench.awaitVotingMembers();
  const late = appendOf(bench, first, 'late');
  bench.peers.isolate(first);
  const second = bench.awaitLeader(first);
  for (const node of others(bench, first)) {
    bench.peers.forge(first, node, 'group.arbat', late);
    assert.notInclude(bench.keysOf(node), 'late');
  }
  assert.equal(bench.leader(), second);
});

// Guards against committing uncommitted entries of a deposed leader.
test('a member commits no further than its log is known to match', () => {
  const bench = new GroupBench();
  const leader = bench.awaitLeader();
  bench.awaitVotingMembers();
  bench.clock.advance(500);
  const [node] = others(bench, leader) as [string];
  const extra = appendOf(bench, leader, 'extra');
  const before = {...extra, entries: [], commit: extra.commit};
  bench.peers.forge(leader, node, 'group.arbat', {...extra, commit: 0});
  bench.peers.forge(leader, node, 'group.arbat', before);
  assert.notInclude(bench.keysOf(node), 'extra');
});
