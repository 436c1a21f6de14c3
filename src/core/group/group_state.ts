import type {GroupEntry} from './group_entry.js';
import {GroupLog} from './group_log.js';

interface GroupStateOptions {
  readonly group: number;
  readonly memoryStart: number;
  readonly index: number;
  readonly indexEpoch: number;
  readonly members: Iterable<readonly [string, number]>;
}

/** Replicated state of a group member, except for the jobs. */
export class GroupState {
  /** Epoch in which the group formed. */
  readonly group: number;
  /** Epoch milliseconds at which the group formed. */
  readonly memoryStart: number;
  readonly log: GroupLog;
  private readonly committedMembers: Map<string, number>;
  /** Cache of `members`. */
  private latestMembers: Map<string, number> | undefined;

  constructor(opts: GroupStateOptions) {
    this.group = opts.group;
    this.memoryStart = opts.memoryStart;
    this.log = new GroupLog(opts.index, opts.indexEpoch);
    this.committedMembers = new Map(opts.members);
  }

  /**
   * Whether the formation of the group is known to be committed. Job events are
   * proposed only after that, so until then a member holds none.
   */
  get isFormationCommitted(): boolean {
    return this.log.commit > 0;
  }

  /**
   * Incarnation of each voter, as of the end of the log. A change takes
   * effect when its entry is appended. Each change affects one member, so the
   * majorities before and after it overlap.
   */
  get members(): ReadonlyMap<string, number> {
    if (!this.latestMembers) {
      this.latestMembers = new Map(this.committedMembers);
      for (const entry of this.log.entriesFrom(this.log.commit + 1)) {
        applyChange(this.latestMembers, entry);
      }
    }
    return this.latestMembers;
  }

  /** Voters as of the commit index, for a snapshot. */
  get membersAtCommit(): Array<[string, number]> {
    return [...this.committedMembers];
  }

  /** Whether a membership change has been appended but not committed. */
  get hasPendingMemberChange(): boolean {
    return this.log.entriesFrom(this.log.commit + 1).some(isChange);
  }

  push(entry: GroupEntry): void {
    this.log.push(entry);
    if (isChange(entry)) this.latestMembers = undefined;
  }

  /** Adds entries of a leader; see {@link GroupLog.merge}. */
  merge(entries: readonly GroupEntry[]): void {
    this.log.merge(entries);
    this.latestMembers = undefined;
  }

  /** Commits and returns the next entry; undefined if there is none. */
  commitNext(): GroupEntry | undefined {
    const entry = this.log.at(this.log.commit + 1);
    if (!entry) return undefined;
    this.log.commit += 1;
    applyChange(this.committedMembers, entry);
    return entry;
  }
}

function isChange({kind}: GroupEntry): boolean {
  return kind === 'remove' || kind === 'admit';
}

function applyChange(members: Map<string, number>, entry: GroupEntry): void {
  if (entry.kind === 'remove') members.delete(entry.node);
  else if (entry.kind === 'admit') members.set(entry.node, entry.incarnation);
}
