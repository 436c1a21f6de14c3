import type {RandomSource} from '../../random/random_source.js';
import type {LogTiming} from './log_timing.js';

/** When a member last heard a leader, and when it starts an election. */
export class ElectionTimer {
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
    const {ELECTION_TIMEOUT_MS: timeoutMs} = this.timing;
    this.deadline = now + timeoutMs + this.random.next() * timeoutMs;
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
