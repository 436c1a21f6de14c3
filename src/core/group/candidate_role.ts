import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {LeaderRole} from './leader_role.js';
import {RoundRole} from './round_role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/** A member that asks for votes, after a pre-vote that binds nobody. */
export class CandidateRole extends RoundRole {
  override readonly name = 'candidate';
  private readonly votes = new Set<string>();

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new FollowerRole(this.core), now);
  }

  override answered(from: string, msg: Ballot, now: number): void {
    const {memory} = this.core;
    if (!memory || msg.group !== memory.group) return;
    const isCurrent = this.isCurrent(msg);
    if (!msg.granted) {
      const isLost = this.refused(msg, now);
      if (isCurrent && !isLost) this.adopt(msg, now);
      return;
    }
    if (!isCurrent || now >= this.endsAt) return;
    if (memory.members.get(from) !== msg.incarnation) return;
    this.votes.add(from);
    this.count(this.votes.size, now);
  }

  protected override ask(now: number): void {
    const {core} = this;
    const {log} = core.memory!;
    this.openRound(now);
    this.votes.clear();
    this.votes.add(core.opts.node);
    for (const node of core.others()) {
      core.send(node, {
        type: 'vote',
        epoch: this.round,
        pre: this.isPre,
        lastIndex: log.lastIndex,
        lastEpoch: log.lastEpoch,
        commit: log.commit,
      });
    }
    this.count(this.votes.size, now);
  }

  protected override won(now: number): void {
    this.core.become(new LeaderRole(this.core), now);
  }

  /**
   * Takes the end of a more complete log. A witness may be the only one that
   * holds a committed entry, and it cannot lead.
   */
  private adopt({snapshot, missing}: Ballot, now: number): void {
    const {core} = this;
    const last = missing?.at(-1);
    if (!missing || !last) return;
    const {log} = core.memory!;
    if (log.isAheadOf(last.index, last.epoch)) return;
    if (snapshot && snapshot.index > log.commit) core.install(snapshot);
    const memory = core.memory!;
    if (missing[0]!.index > memory.log.commit + 1) return;
    memory.merge(missing);
    core.raise(last.epoch);
    this.isPre = true;
    this.ask(now);
  }
}
