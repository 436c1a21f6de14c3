import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {ConfigSnapshot} from '../state/config_snapshot.js';
import type {ConfigState} from '../state/config_state.js';
import type {LogStore} from '../storage/log_store.js';
import {Candidacy} from './candidacy.js';
import type {Election} from './election.js';
import {ElectionTimer} from './election_timer.js';
import {FollowerLog} from './follower_log.js';
import {LogApplier} from './log_applier.js';
import {LogLeader} from './log_leader.js';
import type {LogMessage} from './log_message.js';
import type {LogMemberId} from './log_member_id.js';
import type {LogSnapshot} from './log_snapshot.js';
import {LogRole} from './log_role.js';
import {LogTiming} from './log_timing.js';

type Body<T extends LogMessage['type']> = Omit<
  Extract<LogMessage, {type: T}>,
  'log' | 'from' | 'to' | 'term'
> & {readonly term?: number; readonly log?: string};

interface LogMemberOptions {
  readonly node: string;
  readonly store: LogStore;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  /** Entries after which a snapshot replaces the log. Default 256. */
  readonly snapshotEntries?: number | undefined;
  /** Default `LogTiming`. */
  readonly timing?: LogTiming | undefined;
  /** Called after committed entries or a snapshot have been applied. */
  readonly onApplied: (state: ConfigState, now: number) => void;
}

/**
 * One member of the replicated configuration log: Raft with pre-vote and
 * leadership transfer. Each call passes the current time in ms.
 */
export class LogMember {
  readonly store: LogStore;
  readonly id: LogMemberId;
  readonly timing: LogTiming;
  private readonly applier: LogApplier;
  private leaderNode: string | undefined;
  private readonly timer: ElectionTimer;
  private readonly candidacy: Candidacy;
  private leadership: LogLeader | undefined;
  private readonly follower: FollowerLog;

  constructor(
    private readonly opts: LogMemberOptions,
    now: number,
  ) {
    this.store = opts.store;
    this.id = {node: opts.node, storage: opts.store.storage};
    this.timing = opts.timing ?? LogTiming;
    this.follower = new FollowerLog(this, opts.store);
    this.applier = new LogApplier(opts.store, opts.snapshotEntries);
    this.timer = new ElectionTimer(this.timing, opts.random, now);
    this.candidacy = new Candidacy(this, this.timer, (election, at) =>
      this.lead(election, at),
    );
    // The state read from disk counts only once it has been written again.
    this.store.whenDurable(() => undefined);
  }

  get role(): LogRole {
    if (this.store.isFailed) return LogRole.failed;
    if (this.leadership) return LogRole.leader;
    return this.candidacy.isOpen ? LogRole.candidate : LogRole.follower;
  }

  get term(): number {
    return this.store.voteState.term;
  }

  get leader(): LogLeader | undefined {
    return this.leadership;
  }

  get leaderId(): string | undefined {
    return this.leaderNode;
  }

  get commitIndex(): number {
    return this.applier.commitIndex;
  }

  /** State machine; undefined before this member has joined a log. */
  get state(): ConfigState | undefined {
    return this.applier.state;
  }

  get isVoter(): boolean {
    const {storage} = this.id;
    return this.store.members.voters.some(m => m.storage === storage);
  }

  /** Creates the log of a new deployment, with `voters` as its first voters. */
  bootstrap(
    log: string,
    voters: readonly LogMemberId[],
    state: ConfigSnapshot,
    now: number,
  ): void {
    this.store.setTerm({log, term: 1});
    this.store.compact({
      index: 1,
      term: 1,
      members: {voters: [...voters], learners: []},
      state,
    });
    this.restoreFromSnapshot(now);
    this.store.whenDurable(at => this.candidacy.requestPreVotes(at));
  }

  tick(now: number): void {
    if (this.store.isFailed) return;
    this.timer.tick(now);
    if (this.leadership) {
      this.leadership.tick(now, this.timer);
      return;
    }
    if (!this.timer.isDue(now)) return;
    this.timer.restart(now);
    this.leaderNode = undefined;
    if (this.canCampaign) this.candidacy.requestPreVotes(now);
  }

  receive(node: string, msg: LogMessage, now: number): void {
    const {voteState, isFailed} = this.store;
    if (isFailed) return;
    if (msg.to !== this.id.storage) return this.reportLostFolder(node, msg);
    if (voteState.log !== undefined && msg.log !== voteState.log) return;
    switch (msg.type) {
      case 'vote':
        this.onVote(node, msg, now);
        return;
      case 'vote_reply':
        this.onVoteReply(msg, now);
        return;
      case 'append':
      case 'snapshot':
        this.onLeaderMessage(node, msg, now);
        return;
      case 'append_reply':
        if (msg.term > this.term) this.storeTerm(msg, now);
        else if (msg.term === this.term) this.leadership?.onReply(msg, now);
        return;
      case 'timeout_now':
        if (msg.term !== this.term || !this.canCampaign) return;
        this.candidacy.startElection(now, {isTransfer: true});
        return;
      case 'folder_lost':
        this.leadership?.membership.onStorageReported(
          {node, storage: msg.from},
          now,
        );
        return;
    }
  }

  /** Sends a message; term and log id default to this member's. */
  send<T extends LogMessage['type']>(to: LogMemberId, body: Body<T>): void {
    const {type, ...rest} = body;
    this.opts.peers.send(to.node, `config.${type}`, {
      log: this.store.voteState.log,
      from: this.id.storage,
      to: to.storage,
      term: this.term,
      ...rest,
    });
  }

  /**
   * Tells a leader that the folder of the member it replicates to is lost. A poll
   * would tell it as well, but may come after the end of a short leadership.
   */
  private reportLostFolder(node: string, msg: LogMessage): void {
    if (msg.type !== 'append' && msg.type !== 'snapshot') return;
    const to = {node, storage: msg.from};
    const {log, term} = msg;
    this.send<'folder_lost'>(to, {type: 'folder_lost', log, term});
  }

  /** Raises the commit index and applies the newly committed entries. */
  advanceCommit(index: number, now: number): void {
    const isNew = this.applier.advance(index, (at, decision) =>
      this.leadership?.onApplied(at, decision, now),
    );
    if (!isNew) return;
    this.opts.onApplied(this.state!, now);
    this.applier.compactIfNeeded();
  }

  /** Snapshot of what this member has applied. */
  createSnapshot(): LogSnapshot {
    return this.applier.createSnapshot();
  }

  restoreFromSnapshot(now: number): void {
    this.applier.restoreFromSnapshot();
    this.opts.onApplied(this.state!, now);
  }

  /** Becomes a follower; open proposals end with an unknown outcome. */
  stepDown(now: number): void {
    const {leadership} = this;
    this.leadership = undefined;
    this.candidacy.end();
    this.leaderNode = undefined;
    this.timer.restart(now);
    leadership?.end();
  }

  /**
   * A voter whose log contains its own removal can start an election until the
   * removal is committed, because only its log may contain that entry.
   */
  private get canCampaign(): boolean {
    const {voters} = this.store.membersAt(this.commitIndex);
    return this.isVoter || voters.some(m => m.storage === this.id.storage);
  }

  /** Adopts a term; the caller writes it, together with what else it stores. */
  private adoptTerm(msg: {term: number; log: string}, now: number): void {
    this.stepDown(now);
    this.store.setTerm({log: msg.log, term: msg.term});
  }

  private storeTerm(msg: {term: number; log: string}, now: number): void {
    this.adoptTerm(msg, now);
    this.store.whenDurable(() => undefined);
  }

  private lead(election: Election, now: number): void {
    this.candidacy.end();
    this.leaderNode = this.id.node;
    this.leadership = new LogLeader(this, now, election.msWithoutLeader);
    this.leadership.start(now);
  }

  private onVote(
    node: string,
    msg: Extract<LogMessage, {type: 'vote'}>,
    now: number,
  ): void {
    const to = {node, storage: msg.from};
    const hasLeader =
      this.leadership !== undefined || this.timer.hasLeader(now);
    if (hasLeader && !msg.transfer) return;
    const isUpToDate = this.follower.isUpToDate(msg.last_index, msg.last_term);
    if (msg.pre) {
      const granted = msg.term > this.term && isUpToDate;
      const term = granted ? msg.term : this.term;
      if (granted && !this.candidacy.isOpen) this.timer.defer(now);
      this.send<'vote_reply'>(to, {
        type: 'vote_reply',
        pre: true,
        granted,
        term,
        // This member may not have joined a log yet; uses the candidate's.
        log: msg.log,
      });
      return;
    }
    if (msg.term > this.term) this.adoptTerm(msg, now);
    const {vote} = this.store.voteState;
    const canVote = vote === undefined || vote === msg.from;
    const granted = msg.term === this.term && canVote && isUpToDate;
    if (granted && vote === undefined) {
      this.store.setTerm({log: msg.log, term: msg.term, vote: msg.from});
      this.timer.restart(now);
    }
    const {term} = this;
    this.store.whenDurable(() => {
      if (this.term !== term) return;
      const contactAgeMs = this.timer.msSinceLeader(now);
      this.send<'vote_reply'>(to, {
        type: 'vote_reply',
        pre: false,
        granted,
        silent_ms: contactAgeMs,
      });
    });
  }

  private onVoteReply(
    msg: Extract<LogMessage, {type: 'vote_reply'}>,
    now: number,
  ): void {
    if (!msg.granted && msg.term > this.term) {
      this.storeTerm(msg, now);
      return;
    }
    if (msg.granted) this.candidacy.onVote(msg, now);
  }

  private onLeaderMessage(
    node: string,
    msg: Extract<LogMessage, {type: 'append' | 'snapshot'}>,
    now: number,
  ): void {
    const to = {node, storage: msg.from};
    if (msg.term < this.term) {
      this.follower.rejectStaleTerm(to, msg.round);
      return;
    }
    if (msg.term > this.term || this.store.voteState.log === undefined) {
      this.adoptTerm(msg, now);
    }
    this.candidacy.end();
    this.leaderNode = node;
    this.timer.onLeaderHeard(now);
    if (msg.type === 'append') this.follower.onAppend(to, msg, now);
    else this.follower.onSnapshot(to, msg, now);
  }
}
