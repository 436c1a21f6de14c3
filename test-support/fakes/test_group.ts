import type {Replicator} from '../../src/core/group/replicator.js';
import type {JobTable} from '../../src/core/job/job_table.js';

interface TakeoverOptions {
  /** How long the earlier leader goes on without noticing. */
  readonly noticedAfterMs: number;
  /** Whether its open proposals reached the successor. */
  readonly keepsProposals: boolean;
}

/** A zone's group as a run sees it, with the faults that a run brings about. */
export abstract class TestGroup {
  /** Makes the replica of a member, in place of an earlier one. */
  abstract addMember(node: string, table: JobTable): Replicator;

  /** Starts the group after all members were added. */
  abstract start(): void;

  /** Ends the group; all of its memory is gone. */
  abstract stop(): void;

  /** The member that leads. */
  abstract get leaderNode(): string | undefined;

  /** Makes another member lead. */
  abstract takeOver(node: string, opts: TakeoverOptions): void;

  /** Holds back every commit for a time. */
  abstract stall(ms: number): void;
}
