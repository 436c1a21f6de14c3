import type {JobEvent} from '../job/job_event.js';
import {FollowerRole} from './follower_role.js';
import type {GroupAlive} from './group_alive.js';
import type {GroupEntry} from './group_entry.js';
import type {GroupMemory} from './group_memory.js';
import type {GroupMessage} from './group_message.js';
import {GroupTiming} from './group_timing.js';
import {Progress} from './progress.js';
import {Role} from './role.js';

type Ack = Extract<GroupMessage, {type: 'ack'}>;
type Unplaced<E> = E extends unknown ? Omit<E, 'index' | 'epoch'> : never;

const MAX_ENTRIES_PER_MESSAGE = 500;
/**
 * Entries kept for a member that lags. One that needs more gets a snapshot, so
 * that a lost member does not make the log grow without end.
 */
const MAX_RETAINED = 20_000;

/** The member that orders the events of its epoch. */
export class LeaderRole extends Role {
  override readonly name = 'leader';
  /** Whether an entry of this epoch is committed, and the lead not given up. */
  isActing = false;
  private isHandingOver = false;
  private leadIndex = 0;
  private beatAt = 0;
  private handOverAt = 0;
  private readonly progress = new Map<string, Progress>();

  override get dueAt(): number {
    return this.beatAt;
  }

  override enter(now: number): void {
    const {core} = this;
    const {log} = this.memory;
    core.follow(core.opts.node, core.epoch, now);
    for (const node of core.others()) {
      const progress = new Progress(now);
      progress.next = log.lastIndex + 1;
      this.progress.set(node, progress);
    }
    this.leadIndex = log.lastIndex + 1;
    this.append({kind: 'lead'});
    this.broadcast(now);
    this.advance(now);
  }

  override leave(now: number): void {
    this.withdraw(now);
  }

  override tick(now: number): void {
    const {core} = this;
    if (!this.hasQuorum(now)) {
      core.leader = undefined;
      core.become(new FollowerRole(core), now);
      return;
    }
    core.follow(core.opts.node, core.epoch, now);
    if (now < this.beatAt) return;
    this.broadcast(now);
    this.passOn(now);
  }

  propose(events: readonly JobEvent[], now: number): void {
    if (!this.isActing || events.length === 0) return;
    this.append({kind: 'events', events: [...events]});
    this.broadcast(now);
    this.advance(now);
  }

  /** Gives up the lead to another member; false if none can take it. */
  handOver(now: number): boolean {
    if (this.heirs(now).length === 0) return false;
    this.isHandingOver = true;
    this.withdraw(now);
    this.passOn(now);
    return true;
  }

  override acknowledged(from: string, msg: Ack, now: number): void {
    const {core, memory} = this;
    const progress = this.progress.get(from);
    if (!progress) return;
    if (msg.epoch > core.epoch) {
      core.raise(msg.epoch);
      core.become(new FollowerRole(core), now);
      return;
    }
    if (msg.epoch < core.epoch) return;
    progress.identify(msg.incarnation, msg.group);
    progress.heardAt = now;
    if (msg.group !== memory.group) {
      this.install(from, progress, now);
      this.changeMembers(now);
      return;
    }
    if (msg.ok) {
      progress.match = Math.max(progress.match, msg.index);
      progress.next = Math.max(progress.next, progress.match + 1);
      this.advance(now);
    } else {
      progress.next = Math.max(progress.match, msg.index) + 1;
    }
    if (core.role !== this) return;
    if (progress.next <= memory.log.lastIndex) this.send(from, progress, now);
    this.changeMembers(now);
    this.passOn(now);
  }

  override alive(from: string, [epoch, incarnation]: GroupAlive, now: number) {
    const progress = this.progress.get(from);
    if (epoch !== this.core.epoch) return;
    if (progress?.incarnation === incarnation) progress.heardAt = now;
  }

  private get memory(): GroupMemory {
    return this.core.memory!;
  }

  private append(entry: Unplaced<GroupEntry>): void {
    const {memory} = this;
    const index = memory.log.lastIndex + 1;
    memory.push({...entry, index, epoch: this.core.epoch});
  }

  private broadcast(now: number): void {
    this.beatAt = now + GroupTiming.BEAT_MS;
    for (const [node, progress] of this.progress) {
      this.send(node, progress, now);
    }
  }

  private send(node: string, progress: Progress, now: number): void {
    const {log, group} = this.memory;
    if (progress.match === log.lastIndex && progress.group === group) {
      this.core.sendBeat(node, [this.core.epoch, log.commit, log.base]);
      return;
    }
    const isKnown = progress.group === group || progress.group === 0;
    if (isKnown && progress.next <= log.base) {
      if (progress.incarnation !== 0) this.install(node, progress, now);
      progress.next = log.lastIndex + 1;
    }
    const prevIndex = progress.next - 1;
    const entries = log.from(progress.next, MAX_ENTRIES_PER_MESSAGE);
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

  private install(node: string, progress: Progress, now: number): void {
    if (now - progress.installAt < GroupTiming.INSTALL_MS) return;
    // Others than the founders are served once the group is known to hold.
    const isFounder = this.memory.members.get(node) === progress.incarnation;
    if (!isFounder && !this.memory.isSettled) return;
    progress.installAt = now;
    const snapshot = this.core.snapshot();
    progress.next = snapshot.index + 1;
    this.core.send(node, {type: 'install', snapshot});
  }

  /** Commits what a majority of the full members holds. */
  private advance(now: number): void {
    const {core, memory} = this;
    const {log} = memory;
    const index = Math.min(this.replicatedIndex(), log.lastIndex);
    // Entries of earlier epochs commit only along with one of this epoch.
    if (index > log.commit && log.epochAt(index) === core.epoch) {
      core.commitTo(index, now);
    }
    if (!this.isActing && !this.isHandingOver && log.commit >= this.leadIndex) {
      this.isActing = true;
      core.opts.leadership(core.epoch, now);
    }
    this.trim();
  }

  /** The highest index that a majority of the full members acknowledged. */
  private replicatedIndex(): number {
    const {core, memory} = this;
    const held = [...memory.members].map(([node, incarnation]) => {
      if (node === core.opts.node) return memory.log.lastIndex;
      const progress = this.progress.get(node);
      return progress?.incarnation === incarnation ? progress.match : 0;
    });
    held.sort((a, b) => b - a);
    return held[core.majority - 1] ?? 0;
  }

  private trim(): void {
    const {log, members, group} = this.memory;
    let held = log.commit;
    for (const [node, progress] of this.progress) {
      if (members.has(node) || progress.group === group) {
        held = Math.min(held, progress.match);
      }
    }
    const least = log.lastIndex - MAX_RETAINED;
    log.trim(Math.max(held, least));
  }

  /**
   * Replaces members that lost their memory, in two steps with one member each,
   * so that the majorities before and after a step always overlap.
   */
  private changeMembers(now: number): void {
    const {memory} = this;
    if (!this.isActing) return;
    for (const [node, {incarnation, group, match}] of this.progress) {
      if (incarnation === 0) continue;
      const known = memory.members.get(node);
      if (known === incarnation) continue;
      if (memory.isChanging) return;
      const isCaughtUp = group === memory.group && match >= memory.log.commit;
      if (known !== undefined) this.append({kind: 'remove', node});
      else if (isCaughtUp) this.append({kind: 'admit', node, incarnation});
      else continue;
      this.broadcast(now);
      this.advance(now);
      return;
    }
  }

  private hasQuorum(now: number): boolean {
    let heard = 0;
    for (const node of this.memory.members.keys()) {
      if (node === this.core.opts.node || this.isHeard(node, now)) heard += 1;
    }
    return heard >= this.core.majority;
  }

  private isHeard(node: string, now: number): boolean {
    const progress = this.progress.get(node);
    if (!progress || now - progress.heardAt >= GroupTiming.ELECTION_MS) {
      return false;
    }
    const isUnheard = progress.incarnation === 0;
    const incarnation = this.memory.members.get(node);
    return isUnheard || progress.incarnation === incarnation;
  }

  private withdraw(now: number): void {
    if (!this.isActing) return;
    this.isActing = false;
    this.core.opts.leadership(undefined, now);
  }

  /** Full members that may lead, the one heard last first. */
  private heirs(now: number): string[] {
    const {witnesses} = this.core.opts;
    return [...this.progress]
      .filter(([node, {incarnation}]) => {
        return (
          !witnesses.includes(node) &&
          this.memory.members.get(node) === incarnation &&
          this.isHeard(node, now)
        );
      })
      .sort(([, a], [, b]) => b.heardAt - a.heardAt)
      .map(([node]) => node);
  }

  /** Asks a member that has the whole log to start its election. */
  private passOn(now: number): void {
    if (!this.isHandingOver || now < this.handOverAt) return;
    const {lastIndex} = this.memory.log;
    const heir = this.heirs(now).find(
      node => this.progress.get(node)?.match === lastIndex,
    );
    if (heir === undefined) return;
    this.handOverAt = now + GroupTiming.ELECTION_MS;
    this.core.send(heir, {type: 'handover'});
  }
}
