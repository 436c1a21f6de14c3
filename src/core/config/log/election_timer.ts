import type {RandomSource} from '../../random/random_source.js';
import type {LogTiming} from './log_timing.js';
import {TickGaps} from './tick_gaps.js';

/**
 * Timeouts are at least this many usual gaps between ticks: a message takes up to a
 * gap at its sender, one at its receiver and one for the disk, and back.
 */
const GAPS_PER_TIMEOUT = 4;
/** An election takes two disk writes more than the pre-votes before it. */
const TIMEOUTS_PER_ELECTION = 2;
/** Timeouts without contact after which a node that was held up waits no longer. */
const MAX_TIMEOUTS = 2;
/** Gaps are longer while a process starts, which tells nothing about later ones. */
const START_MS = 3_000;

/** When a member last heard a leader, and when it starts an election. */
export class ElectionTimer {
  private readonly gaps = new TickGaps();
  private lastTickAt: number | undefined;
  private catchingUpUntil = Number.NEGATIVE_INFINITY;
  /** Whether there was contact since the last time of catching up. */
  private hasContact = true;
  /** When the leader was heard, or on the leader, when it last had a majority. */
  private contactAt = Number.NEGATIVE_INFINITY;
  private leaderHeardAt = Number.NEGATIVE_INFINITY;
  private deadline: number;
  private isDeferred = false;

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
    // A node that is always held up would otherwise catch up for ever.
    const isBounded =
      this.hasContact || now - this.contactAt < MAX_TIMEOUTS * this.timeoutMs;
    if (sinceTickMs <= catchUpMs || !isBounded) return;
    this.catchingUpUntil = now + catchUpMs;
    this.hasContact = false;
  }

  /** Whether messages may wait that show who leads. */
  isCatchingUp(now: number): boolean {
    return now < this.catchingUpUntil;
  }

  isDue(now: number): boolean {
    return now >= this.deadline && !this.isCatchingUp(now);
  }

  /**
   * Leaves another candidate the time for its election; once in each wait, as that
   * candidate may not hear the votes.
   */
  defer(now: number): void {
    if (this.isDeferred) return;
    this.isDeferred = true;
    this.deadline = Math.max(this.deadline, now + this.timeoutMs);
  }

  /** Begins to wait anew, for a random time. */
  restart(now: number): void {
    this.isDeferred = false;
    this.deadline = now + this.timeoutMs * (1 + this.random.next());
  }

  /** Begins to wait for the votes of an election. */
  onElectionStarted(now: number): void {
    const {timeoutMs} = this;
    // A node that has time reads all votes within one timeout.
    const isLate = timeoutMs > this.timing.ELECTION_TIMEOUT_MS;
    const extraMs = isLate ? (TIMEOUTS_PER_ELECTION - 1) * timeoutMs : 0;
    this.restart(now + extraMs);
  }

  /** Time without contact after which another member counts as silent. */
  get timeoutMs(): number {
    const {ELECTION_TIMEOUT_MS: timeoutMs} = this.timing;
    return Math.max(timeoutMs, GAPS_PER_TIMEOUT * this.gaps.meanMs);
  }

  /** Records that a leader has contact with a majority. */
  onQuorum(now: number): void {
    this.hasContact = true;
    this.contactAt = now;
  }

  /** Records a message of the leader. */
  onLeaderHeard(now: number): void {
    this.hasContact = true;
    this.contactAt = this.leaderHeardAt = now;
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
