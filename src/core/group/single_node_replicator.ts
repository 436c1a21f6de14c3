import type {JobEvent} from '../job/job_event.js';
import {Replicator} from './replicator.js';

/** A group without replicas: a fixed leader that commits at once. */
export class SingleNodeReplicator extends Replicator {
  private epoch: number | undefined;
  private start = 0;

  constructor(private readonly leaderNode: string) {
    super();
  }

  /** Takes the lead; the epoch comes from the clock, as with a new group. */
  lead(now: number): void {
    this.epoch = now;
    this.start = now;
    this.listener?.leadershipChanged(now, now);
  }

  override get leadingEpoch(): number | undefined {
    return this.epoch;
  }

  override get leader(): string | undefined {
    return this.leaderNode;
  }

  override get memoryStart(): number {
    return this.start;
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
