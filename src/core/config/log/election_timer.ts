import type {RandomSource} from '../../random/random_source.js';
import type {LogTiming} from './log_timing.js';
import {TickGaps} from './tick_gaps.js';

/**
 * Timeouts are at least this many usual gaps between ticks: a message takes up to a
 * gap at its sender, one at its receiver and one for the disk, and back.
 */
const GAPS_PER_TIMEOUT = 4;
/** Gaps are longer while a process starts, which tells nothing about later ones. */
const START_MS = 3_000;

/** When a member last heard a leader, and when it starts an election. */
export class ElectionTimer {
  private readonly gaps = new TickGaps();
  private lastTickAt: number | undefined;
  private catchingUpUntil = Number.NEGATIVE_INFINITY;
  private leaderHeardAt = Number.NEGATIVE_INFINITY;
  private deadline: number;

  constructor(
    private readonly timing: LogTiming,
    private readonly random: RandomSource,
    private readonly openedAt: number,
  ) {
    const {FIRST_ELECTION_MS: firstMs} = timing;
    this.deadline = openedAt + firstMs * (1 + random.next());
  }

  /**
   * Detects that the event loop of this node was held up. What the other members
   * have sent meanwhile waits behind the timers.
   */
  tick(now: number): void {
    const {CATCH_UP_MS: catchUpMs} = this.timing;
    const sinceTickMs = now - (this.lastTickAt ?? now);
    this.lastTickAt = now;
    if (now - this.openedAt >= START_MS) this.gaps.record(sinceTickMs);
    if (sinceTickMs > catchUpMs) this.catchingUpUntil = now + catchUpMs;
  }

  /** Whether messages may wait that show who leads. */
  isCatchingUp(now: number): boolean {
    return now < this.catchingUpUntil;
  }

  isDue(now: number): boolean {
    return now >= this.deadline && !this.isCatchingUp(now);
  }

  /** Begins to wait anew, for a random time. */
  restart(now: number): void {
    this.deadline = now + this.timeoutMs * (1 + this.random.next());
  }

  /** Time without contact after which another member counts as silent. */
  get timeoutMs(): number {
    const {ELECTION_TIMEOUT_MS: timeoutMs} = this.timing;
    return Math.max(timeoutMs, GAPS_PER_TIMEOUT * this.gaps.meanMs);
  }

  /** Records a message of the leader. */
  onLeaderHeard(now: number): void {
    this.leaderHeardAt = now;
    this.restart(now);
  }

  /** Whether a leader was heard recently, so that votes are withheld. */
  hasLeader(now: number): boolean {
    return now - this.leaderHeardAt < this.timing.ELECTION_TIMEOUT_MS;
  }

  /** Time since the last leader message, or since the member was opened. */
  msSinceLeader(now: number): number {
    return now - Math.max(this.leaderHeardAt, this.openedAt);
  }
}
