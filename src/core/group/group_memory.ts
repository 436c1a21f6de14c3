import type {GroupEntry} from './group_entry.js';
import {GroupLog} from './group_log.js';

interface GroupMemoryOptions {
  readonly group: number;
  readonly memoryStart: number;
  readonly index: number;
  readonly indexEpoch: number;
  readonly members: Iterable<readonly [string, number]>;
}

/** What a member of a group remembers beside the jobs. */
export class GroupMemory {
  /** Epoch in which the group formed. */
  readonly group: number;
  /** Epoch milliseconds at which the group formed. */
  readonly memoryStart: number;
  readonly log: GroupLog;
  /** Incarnation of each full member, as committed. */
  readonly members: Map<string, number>;

  constructor(opts: GroupMemoryOptions) {
    this.group = opts.group;
    this.memoryStart = opts.memoryStart;
    this.log = new GroupLog(opts.index, opts.indexEpoch);
    this.members = new Map(opts.members);
  }

  /**
   * Whether the forming of the group is known to be committed. Job events are
   * proposed only after that, so a member of a group that is not settled holds
   * none.
   */
  get isSettled(): boolean {
    return this.log.commit > 0;
  }

  /** The members as of the end of the log, which an election counts. */
  latestMembers(): Map<string, number> {
    const members = new Map(this.members);
    for (const entry of this.log.from(this.log.commit + 1)) {
      applyChange(members, entry);
    }
    return members;
  }

  /** Whether a change of members waits for its commit. */
  get isChanging(): boolean {
    return this.log
      .from(this.log.commit + 1)
      .some(({kind}) => kind === 'remove' || kind === 'admit');
  }

  /** Applies a committed entry to the members. */
  applyMembers(entry: GroupEntry): void {
    applyChange(this.members, entry);
  }
}

function applyChange(members: Map<string, number>, entry: GroupEntry): void {
  if (entry.kind === 'remove') members.delete(entry.node);
  else if (entry.kind === 'admit') members.set(entry.node, entry.incarnation);
}
