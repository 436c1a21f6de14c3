import type {NodeDirectory} from '../node/node_directory.js';

/** A node whose ticks are further apart than this was suspended. */
const MAX_TICK_GAP_MS = 300;
/** Time in which messages that arrived during a suspension are processed. */
const CATCH_UP_MS = 100;
/** Time after a start or a suspension in which all holders state their claims. */
const LISTEN_MS = 300;

/**
 * Detects that this node was suspended. Its view of the other nodes is then
 * outdated until it has processed the messages that arrived meanwhile.
 */
export class ResumeGuard {
  private lastTick: number | undefined;
  private resumedAt = Number.NEGATIVE_INFINITY;
  private listensSince = 0;

  tick(now: number): void {
    if (this.lastTick === undefined) this.listensSince = now;
    else if (now - this.lastTick > MAX_TICK_GAP_MS) {
      this.resumedAt = now;
      this.listensSince = now;
    }
    this.lastTick = now;
  }

  /** Whether the node runs and has processed what it missed. */
  isAwake(now: number): boolean {
    const lastTick = this.lastTick ?? Number.NEGATIVE_INFINITY;
    const isTicking = now - lastTick <= MAX_TICK_GAP_MS;
    return isTicking && now - this.resumedAt >= CATCH_UP_MS;
  }

  /** Whether the claims of all holders have been heard since a suspension. */
  hasListened(
    directory: NodeDirectory,
    cores: readonly string[],
    now: number,
  ): boolean {
    const since = this.listensSince;
    if (now - since >= LISTEN_MS) return true;
    return cores.every(id => directory.seenAt('core', id) >= since);
  }
}
