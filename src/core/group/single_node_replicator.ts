import type {JobEvent} from '../job/job_event.js';
import {Replicator} from './replicator.js';

/** Replicator of a group with one node, which commits every event at once. */
export class SingleNodeReplicator extends Replicator {
  private epoch: number | undefined;
  private formedAt = 0;

  constructor(private readonly leaderNode: string) {
    super();
  }

  /** Becomes leader; the epoch is taken from the clock, as in a new group. */
  lead(now: number): void {
    this.epoch = now;
    this.formedAt = now;
    this.listener?.leadershipChanged(now, now);
  }

  override get leadingEpoch(): number | undefined {
    return this.epoch;
  }

  override get leader(): string | undefined {
    return this.leaderNode;
  }

  override get memoryStart(): number {
    return this.formedAt;
  }

  override propose(events: readonly JobEvent[], now: number): void {
    this.listener?.committed(events, now);
  }

  override raiseEpochAbove(epoch: number, now: number): void {
    if (this.epoch === undefined || epoch <= this.epoch) return;
    this.listener?.leadershipChanged(undefined, now);
    this.epoch = epoch + 1;
    this.listener?.leadershipChanged(this.epoch, now);
  }

  override handOver(): boolean {
    return this.epoch === undefined;
  }
}
