import type {JobEvent} from '../job/job_event.js';
import {FollowerRole} from './follower_role.js';
import type {GroupEntry} from './group_entry.js';
import type {GroupHeartbeatReply} from './group_heartbeat_reply.js';
import type {GroupMessage} from './group_message.js';
import type {GroupState} from './group_state.js';
import {GroupTiming} from './group_timing.js';
import {Progress} from './progress.js';
import {Role} from './role.js';

type Ack = Extract<GroupMessage, {type: 'ack'}>;
type NewEntry<E> = E extends unknown ? Omit<E, 'index' | 'epoch'> : never;

const MAX_ENTRIES_PER_MESSAGE = 500;
/**
 * Entries retained for members that lag. A member that needs older entries gets
 * a snapshot, so that the log is bounded while a member is down.
 */
const MAX_RETAINED = 20_000;

/** Member that appends events to the log and replicates them in its epoch. */
export class LeaderRole extends Role {
  override readonly name = 'leader';
  /**
   * Whether proposals are accepted: after the first entry of this epoch is
   * committed and until leadership ends or a hand-over begins.
   */
  acceptsProposals = false;
  private isHandingOver = false;
  /** Index of the first entry of this epoch. */
  private epochStartIndex = 0;
  private heartbeatAt = 0;
  private handOverRetryAt = 0;
  private readonly progress = new Map<string, Progress>();

  override get dueAt(): number {
    return this.heartbeatAt;
  }

  override enter(now: number): void {
    const {core} = this;
    const {log} = this.state;
    core.recordLeader(core.opts.node, core.epoch, now);
    for (const node of core.others()) {
      const progress = new Progress(now);
      progress.next = log.lastIndex + 1;
      this.progress.set(node, progress);
    }
    this.epochStartIndex = log.lastIndex + 1;
    this.append({kind: 'lead'});
    this.broadcast(now);
    this.advanceCommit(now);
  }

  override exit(now: number): void {
    this.endLeadership(now);
  }

  override tick(now: number): void {
    const {core} = this;
    if (!this.hasQuorum(now)) {
      core.leader = undefined;
      core.become(new FollowerRole(core), now);
      return;
    }
    core.recordLeader(core.opts.node, core.epoch, now);
    if (now < this.heartbeatAt) return;
    this.broadcast(now);
    this.requestTakeover(now);
  }

  propose(events: readonly JobEvent[], now: number): void {
    if (!this.acceptsProposals || events.length === 0) return;
    this.append({kind: 'events', events: [...events]});
    this.broadcast(now);
    this.advanceCommit(now);
  }

  /** Starts a hand-over of the leadership; false if no member can take over. */
  handOver(now: number): boolean {
    if (this.handOverTargets(now).length === 0) return false;
    this.isHandingOver = true;
    this.endLeadership(now);
    this.requestTakeover(now);
    return true;
  }

  override onAck(from: string, msg: Ack, now: number): void {
    const {core, state} = this;
    const progress = this.progress.get(from);
    if (!progress) return;
    if (msg.epoch > core.epoch) {
      core.advanceEpoch(msg.epoch);
      core.become(new FollowerRole(core), now);
      return;
    }
    if (msg.epoch < core.epoch) return;
    progress.updateSender(msg.incarnation, msg.group);
    progress.lastReplyAt = now;
    if (msg.group !== state.group) {
      this.sendSnapshot(from, progress, now);
      this.changeMembers(now);
      return;
    }
    if (msg.ok) {
      progress.match = Math.max(progress.match, msg.index);
      progress.next = Math.max(progress.next, progress.match + 1);
      this.advanceCommit(now);
    } else {
      progress.next = Math.max(progress.match, msg.index) + 1;
    }
    if (core.role !== this) return;
    if (progress.next <= state.log.lastIndex) this.send(from, progress, now);
    this.changeMembers(now);
    this.requestTakeover(now);
  }

  override onHeartbeatReply(
    from: string,
    [epoch, incarnation]: GroupHeartbeatReply,
    now: number,
  ) {
    const progress = this.progress.get(from);
    if (epoch !== this.core.epoch) return;
    if (progress?.incarnation === incarnation) progress.lastReplyAt = now;
  }

  private get state(): GroupState {
    return this.core.state!;
  }

  private append(entry: NewEntry<GroupEntry>): void {
    const {state} = this;
    const index = state.log.lastIndex + 1;
    state.push({...entry, index, epoch: this.core.epoch});
  }

  private broadcast(now: number): void {
    this.heartbeatAt = now + GroupTiming.HEARTBEAT_INTERVAL_MS;
    for (const [node, progress] of this.progress) {
      this.send(node, progress, now);
    }
  }

  private send(node: string, progress: Progress, now: number): void {
    const {log, group} = this.state;
    if (progress.match === log.lastIndex && progress.group === group) {
      this.core.sendHeartbeat(node, [this.core.epoch, log.commit, log.base]);
      return;
    }
    const isGroupCompatible = progress.group === group || progress.group === 0;
    if (isGroupCompatible && progress.next <= log.base) {
      if (progress.incarnation !== 0) this.sendSnapshot(node, progress, now);
      progress.next = log.lastIndex + 1;
    }
    const prevIndex = progress.next - 1;
    const entries = log.entriesFrom(progress.next, MAX_ENTRIES_PER_MESSAGE);
    progress.next += entries.length;
    this.core.send(node, {
      type: 'append',
      prevIndex,
      prevEpoch: log.epochAt(prevIndex) ?? 0,
      entries,
      commit: log.commit,
      trim: log.base,
    });
  }

  private sendSnapshot(node: string, progress: Progress, now: number): void {
    if (now - progress.snapshotSentAt < GroupTiming.SNAPSHOT_RETRY_MS) return;
    // Until the formation of the group is committed, only its initial members
    // receive its state.
    const isMember = this.state.members.get(node) === progress.incarnation;
    if (!isMember && !this.state.isFormationCommitted) return;
    progress.snapshotSentAt = now;
    const snapshot = this.core.snapshot();
    progress.next = snapshot.index + 1;
    this.core.send(node, {type: 'install', snapshot});
  }

  /**
   * Commits the entries that a majority holds and starts to accept proposals.
   */
  private advanceCommit(now: number): void {
    const {core, state} = this;
    const {log} = state;
    const index = Math.min(this.replicatedIndex(), log.lastIndex);
    // Entries of earlier epochs are committed only together with one of this
    // epoch, because a later leader could still overwrite them otherwise.
    if (index > log.commit && log.epochAt(index) === core.epoch) {
      core.commitTo(index, now);
    }
    if (
      !this.acceptsProposals &&
      !this.isHandingOver &&
      log.commit >= this.epochStartIndex
    ) {
      this.acceptsProposals = true;
      core.opts.leadershipChanged(core.epoch, now);
    }
    this.trim();
  }

  /**
   * Highest index that enough voters have acknowledged to form a
   * majority of the configured members.
   */
  private replicatedIndex(): number {
    const {core, state} = this;
    const held = [...state.members].map(([node, incarnation]) => {
      if (node === core.opts.node) return state.log.lastIndex;
      const progress = this.progress.get(node);
      return progress?.incarnation === incarnation ? progress.match : 0;
    });
    held.sort((a, b) => b - a);
    return held[core.majority - 1] ?? 0;
  }

  private trim(): void {
    const {log, members, group} = this.state;
    let held = log.commit;
    for (const [node, progress] of this.progress) {
      if (members.has(node) || progress.group === group) {
        held = Math.min(held, progress.match);
      }
    }
    const minTrimIndex = log.lastIndex - MAX_RETAINED;
    log.trim(Math.max(held, minTrimIndex));
  }

  /**
   * Replaces voters that lost their state. The old incarnation is
   * removed and the new one added in separate changes, so that the majorities
   * before and after each change overlap.
   */
  private changeMembers(now: number): void {
    const {state} = this;
    if (!this.acceptsProposals) return;
    for (const [node, {incarnation, group, match}] of this.progress) {
      if (incarnation === 0) continue;
      const known = state.members.get(node);
      if (known === incarnation) continue;
      if (state.hasPendingMemberChange) return;
      const isCaughtUp = group === state.group && match >= state.log.commit;
      if (known !== undefined) this.append({kind: 'remove', node});
      else if (isCaughtUp) this.append({kind: 'admit', node, incarnation});
      else continue;
      this.broadcast(now);
      this.advanceCommit(now);
      return;
    }
  }

  private hasQuorum(now: number): boolean {
    let alive = 0;
    for (const node of this.state.members.keys()) {
      if (node === this.core.opts.node || this.isAlive(node, now)) alive += 1;
    }
    return alive >= this.core.majority;
  }

  private isAlive(node: string, now: number): boolean {
    const progress = this.progress.get(node);
    if (
      !progress ||
      now - progress.lastReplyAt >= GroupTiming.ELECTION_TIMEOUT_MS
    ) {
      return false;
    }
    const hasNotReplied = progress.incarnation === 0;
    const incarnation = this.state.members.get(node);
    return hasNotReplied || progress.incarnation === incarnation;
  }

  private endLeadership(now: number): void {
    if (!this.acceptsProposals) return;
    this.acceptsProposals = false;
    this.core.opts.leadershipChanged(undefined, now);
  }

  /** Voters that can take over, most recent reply first. */
  private handOverTargets(now: number): string[] {
    const {witnesses} = this.core.opts;
    return [...this.progress]
      .filter(([node, {incarnation}]) => {
        return (
          !witnesses.includes(node) &&
          this.state.members.get(node) === incarnation &&
          this.isAlive(node, now)
        );
      })
      .sort(([, a], [, b]) => b.lastReplyAt - a.lastReplyAt)
      .map(([node]) => node);
  }

  /** Asks a member with the complete log to start an election. */
  private requestTakeover(now: number): void {
    if (!this.isHandingOver || now < this.handOverRetryAt) return;
    const {lastIndex} = this.state.log;
    const target = this.handOverTargets(now).find(
      node => this.progress.get(node)?.match === lastIndex,
    );
    if (target === undefined) return;
    this.handOverRetryAt = now + GroupTiming.ELECTION_TIMEOUT_MS;
    this.core.send(target, {type: 'handover'});
  }
}
