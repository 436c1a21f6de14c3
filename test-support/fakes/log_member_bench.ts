import {Result} from 'true-myth';
import {LogMember} from '../../src/core/config/log/log_member.js';
import type {LogMessage} from '../../src/core/config/log/log_message.js';
import {ConfigState} from '../../src/core/config/state/config_state.js';
import {LogStore} from '../../src/core/config/storage/log_store.js';
import type {PeerError} from '../../src/core/peer/peer_error.js';
import {PeerTransport} from '../../src/core/peer/peer_transport.js';
import {ConfigBench} from './config_bench.js';
import {FakeClock} from './fake_clock.js';
import {FakeDisk} from './fake_disk.js';
import {SeededRandom} from './seeded_random.js';

const TICK_MS = 100;

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
export class LogMemberBench {
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

  /** Advances the clock with regular ticks of the member. */
  tickFor(ms: number): void {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.clock.advance(TICK_MS);
      this.member.tick(this.clock.now());
    }
  }

  /** Waits until the member asks for votes in a term. */
  waitForVotes(term: number, pre: boolean): void {
    const isAsked = () =>
      this.peers.sent.some(
        m => m.type === 'vote' && m.pre === pre && m.term === term,
      );
    for (let n = 0; n < 100 && !isAsked(); n += 1) this.tickFor(TICK_MS);
    if (!isAsked()) throw new Error(`no votes requested for term ${term}`);
  }

  /** Grants the votes of b in term 2 so that the member leads. */
  elect(): void {
    this.waitForVotes(2, true);
    const vote = {type: 'vote_reply', term: 2, granted: true};
    this.receive('b', {...vote, pre: true});
    this.receive('b', {...vote, pre: false});
    this.clock.advance(TICK_MS);
  }
}
