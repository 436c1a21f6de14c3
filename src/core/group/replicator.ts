import type {JobEvent} from '../job/job_event.js';

interface ReplicatorListener {
  /** Receives events in log order, on every member including the leader. */
  committed(events: readonly JobEvent[], now: number): void;
  /**
   * Called with its epoch when this member becomes leader, and with `undefined`
   * when it ceases to be leader.
   */
  leadershipChanged(epoch: number | undefined, now: number): void;
}

/** Replicates the job events of a zone to the members of its group. */
export abstract class Replicator {
  protected listener: ReplicatorListener | undefined;

  /** Sets the listener; only one is supported. */
  listen(listener: ReplicatorListener): void {
    this.listener = listener;
  }

  /** Epoch in which this member is leader; undefined if it is not. */
  abstract get leadingEpoch(): number | undefined;

  /** Node of the leader, if this member knows it. */
  abstract get leader(): string | undefined;

  /**
   * Epoch milliseconds at which the group formed; Infinity until the formation
   * is committed. The group knows every job accepted since. Earlier jobs may
   * have been lost, because state is held in memory only.
   */
  abstract get memoryStart(): number;

  /** Appends events to the log; must only be called on the leader. */
  abstract propose(events: readonly JobEvent[], now: number): void;

  /**
   * Called when a worker has accepted `epoch`. A leader of a lower epoch steps
   * down and stands for election with a higher one.
   */
  abstract raiseEpochAbove(epoch: number, now: number): void;

  /**
   * Hands the leadership over, if this member is leader, and leaves later
   * elections to other members. False if no other member can take over.
   */
  abstract handOver(now: number): boolean;
}
