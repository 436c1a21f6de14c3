import {Election} from './election.js';
import type {ElectionTimer} from './election_timer.js';
import type {LogMember} from './log_member.js';
import type {LogMessage} from './log_message.js';

/** The candidate's side of elections: requests votes and counts them. */
export class Candidacy {
  private preVote: Election | undefined;
  /**
   * Election of the current term. It can be won while pre-votes for the next term are
   * requested, as these change no term.
   */
  private election: Election | undefined;

  constructor(
    private readonly member: LogMember,
    private readonly timer: ElectionTimer,
    private readonly onWon: (election: Election, now: number) => void,
  ) {}

  get isOpen(): boolean {
    return this.preVote !== undefined || this.election !== undefined;
  }

  end(): void {
    this.preVote = undefined;
    this.election = undefined;
  }

  /** Asks the others whether they would vote, which binds nobody. */
  requestPreVotes(now: number): void {
    if (!this.canStart) return;
    this.timer.restart(now);
    this.preVote = this.createElection(true, false);
    this.requestVotes(this.preVote);
    this.countOwnVote(this.preVote, now);
  }

  /**
   * Begins a new term and requests votes for it. `isTransfer` tells that the leader
   * has asked for it.
   */
  startElection(now: number, {isTransfer}: {isTransfer: boolean}): void {
    if (!this.canStart) return;
    const {store, id} = this.member;
    const election = this.createElection(false, isTransfer);
    this.timer.onElectionStarted(now);
    this.preVote = undefined;
    this.election = election;
    const {term} = election.opts;
    store.setTerm({log: store.voteState.log, term, vote: id.storage});
    this.requestVotes(election);
    store.whenDurable(at => this.countOwnVote(election, at));
  }

  /** Counts a vote that was granted. */
  onVote(msg: Extract<LogMessage, {type: 'vote_reply'}>, now: number): void {
    const election = msg.pre ? this.preVote : this.election;
    if (!election || msg.term !== election.opts.term) return;
    election.addVote(msg.from, msg.silent_ms ?? 0);
    this.check(election, now);
  }

  private get canStart(): boolean {
    return !this.member.leader && !this.member.store.isFailed;
  }

  private createElection(isPreVote: boolean, isTransfer: boolean): Election {
    const {members} = this.member.store;
    const term = this.member.term + 1;
    return new Election({isPreVote, term, members, isTransfer});
  }

  private requestVotes(election: Election): void {
    const {member} = this;
    const {isPreVote, isTransfer, members, term} = election.opts;
    for (const voter of members.voters) {
      if (voter.storage === member.id.storage) continue;
      member.send<'vote'>(voter, {
        type: 'vote',
        term,
        pre: isPreVote,
        transfer: isTransfer,
        last_index: member.store.lastIndex,
        last_term: member.store.lastTerm,
      });
    }
  }

  private countOwnVote(election: Election, now: number): void {
    if (election !== this.preVote && election !== this.election) return;
    const {storage} = this.member.id;
    election.addVote(storage, this.timer.msSinceLeader(now));
    this.check(election, now);
  }

  private check(election: Election, now: number): void {
    // Entries are stored under the term, which a crash must not make it forget.
    const isOwnCounted = election.hasVoteOf(this.member.id.storage);
    if (!isOwnCounted || !election.isWon) return;
    if (election.opts.isPreVote) this.startElection(now, {isTransfer: false});
    else this.onWon(election, now);
  }
}
