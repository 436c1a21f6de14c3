import {Replicator} from './replicator.js';

/** Stands for the group on a daemon of the zone that is no member of it. */
export class NonMemberReplicator extends Replicator {
  override readonly leadingEpoch = undefined;
  override readonly leader = undefined;
  override readonly memoryStart = 0;

  override propose(): void {}

  override raiseEpochAbove(): void {}

  override handOver(): boolean {
    return true;
  }
}
