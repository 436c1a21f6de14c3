import type {JobEvent} from '../job/job_event.js';

interface ReplicatorListener {
  /** Events in log order; called on every member, the leader included. */
  committed(events: readonly JobEvent[], now: number): void;
  /** The epoch when this member becomes leader; undefined when it stops. */
  leadership(epoch: number | undefined, now: number): void;
}

/** Replicates the job events of one zone to a majority of its group. */
export abstract class Replicator {
  protected listener: ReplicatorListener | undefined;

  /** Sets the one receiver of commits and of leadership changes. */
  listen(listener: ReplicatorListener): void {
    this.listener = listener;
  }

  /** The epoch this member leads in, or undefined. */
  abstract get leading(): number | undefined;

  /** The node that leads as far as this member knows. */
  abstract get leader(): string | undefined;

  /** Epoch milliseconds from which on the group remembers every job. */
  abstract get memoryStart(): number;

  /** Appends events; only the leader may call it. */
  abstract propose(events: readonly JobEvent[], now: number): void;
}
