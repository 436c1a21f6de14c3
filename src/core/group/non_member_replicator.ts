import {Replicator} from './replicator.js';

/** Replicator of a daemon that is not a member of its zone's group. */
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
