import {FollowerRole} from './follower_role.js';
import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import {LeaderRole} from './leader_role.js';
import type {ReplicaCore} from './replica_core.js';
import {Role} from './role.js';

type Ballot = Extract<GroupMessage, {type: 'ballot'}>;

/** A member that asks for votes, after a pre-vote that binds nobody. */
export class CandidateRole extends Role {
  override readonly name = 'candidate';
  private round = 0;
  private endsAt = 0;
  private readonly votes = new Set<string>();

  /** Without a pre-vote, when the leader itself asks for the election. */
  constructor(
    core: ReplicaCore,
    private isPre = true,
  ) {
    super(core);
  }

  override get dueAt(): number {
    return this.endsAt;
  }

  override enter(now: number): void {
    this.ask(now);
  }

  override tick(now: number): void {
    if (now < this.endsAt) return;
    this.core.become(new FollowerRole(this.core), now);
  }

  override answered(from: string, msg: Ballot, now: number): void {
    const {core} = this;
    const {memory} = core;
    if (!memory || msg.group !== memory.group) return;
    const isCurrent = msg.round === this.round && msg.pre === this.isPre;
    if (!msg.granted) {
      core.raise(msg.epoch);
      // A round below an epoch that was seen since must not be won.
      if (!this.isPre && core.epoch > this.round) this.endsAt = now;
      else if (isCurrent) this.adopt(msg, now);
      return;
    }
    if (!isCurrent || now >= this.endsAt) return;
    if (memory.members.get(from) !== msg.incarnation) return;
    this.votes.add(from);
    this.count(now);
  }

  private ask(now: number): void {
    const {core} = this;
    const {log} = core.memory!;
    this.round = core.nextEpoch(now);
    this.endsAt =
      now + GroupTiming.ROUND_MS + core.jitter(GroupTiming.ROUND_SPREAD_MS);
    if (!this.isPre) {
      core.raise(this.round);
      core.votedFor = core.opts.node;
    }
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
    this.count(now);
  }

  private count(now: number): void {
    if (this.votes.size < this.core.majority) return;
    if (this.isPre) {
      this.isPre = false;
      this.ask(now);
    } else {
      this.core.become(new LeaderRole(this.core), now);
    }
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
