import type {Replicator} from '../../src/core/group/replicator.js';
import type {JobTable} from '../../src/core/job/job_table.js';

interface TakeoverOptions {
  /** Time until the previous leader steps down, in ms. */
  readonly noticedAfterMs: number;
  /** Whether the new leader has received the pending proposals. */
  readonly keepsProposals: boolean;
}

/**
 * Group of a zone as used by a test run, with the faults that a run injects.
 */
export abstract class TestGroup {
  /** Creates the replica of a member, which replaces an existing one. */
  abstract addMember(node: string, table: JobTable): Replicator;

  /** Starts the group once all members have been added. */
  abstract start(): void;

  /** Stops the group; all of its state is lost. */
  abstract stop(): void;

  /** Node of the current leader. */
  abstract get leaderNode(): string | undefined;

  /** Makes another member leader. */
  abstract takeOver(node: string, opts: TakeoverOptions): void;

  /** Holds commits back for the next `ms` milliseconds. */
  abstract stall(ms: number): void;
}
