import {ElectionRole} from './election_role.js';
import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {LeaderRole} from './leader_role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/** Member that requests votes to become leader, after a pre-vote. */
export class CandidateRole extends ElectionRole {
  override readonly name = 'candidate';
  private readonly votes = new Set<string>();

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new FollowerRole(this.core), now);
  }

  override onBallot(from: string, msg: Ballot, now: number): void {
    const {state} = this.core;
    if (!state || msg.group !== state.group) return;
    const isCurrent = this.isCurrent(msg);
    if (!msg.granted) {
      const hasRoundEnded = this.handleRejection(msg, now);
      if (isCurrent && !hasRoundEnded) this.adoptMissingEntries(msg, now);
      return;
    }
    if (!isCurrent || now >= this.endsAt) return;
    if (state.members.get(from) !== msg.incarnation) return;
    this.votes.add(from);
    this.countVotes(this.votes.size, now);
  }

  protected override requestVotes(now: number): void {
    const {core} = this;
    const {log} = core.state!;
    this.startRound(now);
    this.votes.clear();
    this.votes.add(core.opts.node);
    for (const node of core.others()) {
      core.send(node, {
        type: 'vote',
        epoch: this.round,
        pre: this.isPreVote,
        lastIndex: log.lastIndex,
        lastEpoch: log.lastEpoch,
        commit: log.commit,
      });
    }
    this.countVotes(this.votes.size, now);
  }

  protected override onElected(now: number): void {
    this.core.become(new LeaderRole(this.core), now);
  }

  /**
   * Takes missing entries from a member with a more up-to-date log and restarts
   * the election. A committed entry may be held only by a witness, which cannot
   * become leader itself.
   */
  private adoptMissingEntries({snapshot, missing}: Ballot, now: number): void {
    const {core} = this;
    const last = missing?.at(-1);
    if (!missing || !last) return;
    const {log} = core.state!;
    if (log.isAheadOf(last.index, last.epoch)) return;
    if (snapshot && snapshot.index > log.commit) core.installSnapshot(snapshot);
    const state = core.state!;
    if (missing[0]!.index > state.log.commit + 1) return;
    state.merge(missing);
    core.advanceEpoch(last.epoch);
    this.isPreVote = true;
    this.requestVotes(now);
  }
}
