import {Replicator} from './replicator.js';

/** Stands for the group on a daemon of the zone that is no member of it. */
export class AbsentReplicator extends Replicator {
  override readonly leading = undefined;
  override readonly leader = undefined;
  override readonly memoryStart = 0;

  override propose(): void {}

  override supersede(): void {}

  override handOver(): boolean {
    return true;
  }
}
