import {assert} from 'chai';
import {Result} from 'true-myth';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {FakeDisk} from '../../../../test-support/fakes/fake_disk.js';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';
import type {PeerError} from '../../peer/peer_error.js';
import {PeerTransport} from '../../peer/peer_transport.js';
import {ConfigState} from '../state/config_state.js';
import {LogStore} from '../storage/log_store.js';
import {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';

/** Records sent messages and delivers none. */
class RecordingPeers extends PeerTransport {
  readonly sent: LogMessage[] = [];

  override send(_node: string, kind: string, body: unknown): void {
    const type = kind.replace('config.', '');
    this.sent.push({...(body as object), type} as LogMessage);
  }

  override async request(): Promise<Result<unknown, PeerError>> {
    return Result.err({kind: 'unsent', detail: ''});
  }
}

/** One of three members; the test plays the other two by crafted messages. */
class MemberBench {
  readonly clock = new FakeClock();
  readonly peers = new RecordingPeers();
  readonly disk = new FakeDisk(this.clock, new SeededRandom(1));
  readonly member: LogMember;
  readonly snapshot;

  constructor() {
    const opened = LogStore.open(this.disk, 'me', () => undefined);
    if (opened.isErr) throw new Error(opened.error);
    this.member = new LogMember(
      {
        node: 'a',
        store: opened.value,
        peers: this.peers,
        random: new SeededRandom(2),
        onApplied: () => undefined,
      },
      this.clock.now(),
    );
    this.clock.advance(100);
    this.snapshot = {
      index: 1,
      term: 1,
      members: {
        voters: [
          {node: 'a', storage: 'me'},
          {node: 'b', storage: 'b1'},
          {node: 'c', storage: 'c1'},
        ],
        learners: [],
      },
      state: ConfigState.initial({version: 1, classes: {}, tenants: {}}),
    };
  }

  receive(from: string, body: object): void {
    const common = {log: 'log', from: `${from}1`, to: 'me', term: 1};
    const msg = {...common, ...body} as LogMessage;
    this.member.receive(from, msg, this.clock.now());
  }

  sent(type: LogMessage['type']): LogMessage[] {
    return this.peers.sent.filter(m => m.type === type);
  }

  /** Joins the log and stores one uncommitted change of term 1. */
  join(): void {
    this.receive('b', {type: 'snapshot', snapshot: this.snapshot, round: 0});
    const change = ConfigBench.changeOf('k1', 1, 'a');
    this.receive('b', {
      type: 'append',
      prev_index: 1,
      prev_term: 1,
      entries: [{index: 2, term: 1, body: {kind: 'change', change}}],
      commit: 1,
      round: 0,
    });
    this.clock.advance(100);
  }
}

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
  const bench = new MemberBench();
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
  const bench = new MemberBench();
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
  const bench = new MemberBench();
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
  const bench = new MemberBench();
  bench.receive('b', {...VOTE, to: 'lost'});
  bench.clock.advance(100);
  assert.isEmpty(bench.peers.sent);
});

// A later leader can still overwrite an entry of an earlier term, even if it is
// stored on a majority.
test('entries of earlier terms are committed only with a current one', () => {
  const bench = new MemberBench();
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
  const bench = new MemberBench();
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
