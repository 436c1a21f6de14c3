import type {JobEvent} from '../job/job_event.js';

interface ReplicatorListener {
  /** Events in log order; called on every member, the leader included. */
  committed(events: readonly JobEvent[], now: number): void;
  /** The epoch when this member becomes leader; undefined when it stops. */
  leadershipChanged(epoch: number | undefined, now: number): void;
}

/** Replicates the job events of one zone to a majority of its group. */
export abstract class Replicator {
  protected listener: ReplicatorListener | undefined;

  /** Sets the one receiver of commits and of leadership changes. */
  listen(listener: ReplicatorListener): void {
    this.listener = listener;
  }

  /** The epoch this member leads in, or undefined. */
  abstract get leadingEpoch(): number | undefined;

  /** The node that leads as far as this member knows. */
  abstract get leader(): string | undefined;

  /** Epoch milliseconds from which on the group remembers every job. */
  abstract get memoryStart(): number;

  /** Appends events; only the leader may call it. */
  abstract propose(events: readonly JobEvent[], now: number): void;

  /**
   * A worker obeys `epoch`: a leader of a lower one gives up the lead and seeks
   * it again with a higher epoch.
   */
  abstract raiseEpochAbove(epoch: number, now: number): void;

  /**
   * Stops proposing and passes the lead on; this member asks for it no more.
   * False if it leads and no other member can take over.
   */
  abstract handOver(now: number): boolean;
}
