import type {JobContact} from '../job/job_contact.js';
import {LeaseTiming} from './lease_timing.js';
import {SuspendedTime} from './suspended_time.js';

/** Minimum rate of a worker's clock relative to this one; it may be 2% slow. */
const MIN_CLOCK_RATE = 0.98;

/** Tolerance for timers that fire late on either side. */
const EXPIRY_SLACK_MS = 60;

/**
 * Part of the callers' resend time within which an entry node notices that a
 * request has ended, and a worker that a lease has.
 */
const CONTACT_MARGIN_MS = 125;

/**
 * Least time for which a contact permits a lease, in ms. Contacts are up to 0.5 s
 * apart, so with less, runs would end between two of them.
 */
const MIN_CONTACT_LEASE_MS = 900;

/** Least duration of a lease with which a run is started, in ms. */
const MIN_START_LEASE_MS = 150;

/** A worker's lease, in terms of the worker's clock as read from replies. */
export class WorkerLease {
  private workerClockMs: number | undefined;
  private receivedAt = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  /** Latest lease end that was sent or may have been, on the worker's clock. */
  private end = 0;
  /** End of the longest lease that the contacts of the last extension permit. */
  private limit = Number.POSITIVE_INFINITY;
  private readonly contactLeaseMs: number;
  private readonly suspended = new SuspendedTime();

  /**
   * `leaseMs` is the longest lease that workers grant, `resendMs` the time after
   * which callers send a job again whose answer they did not receive.
   */
  constructor(
    private readonly leaseMs: number,
    resendMs: number = LeaseTiming.RESEND_MS,
  ) {
    const permittedMs = (resendMs - CONTACT_MARGIN_MS) * MIN_CLOCK_RATE;
    this.contactLeaseMs = Math.max(MIN_CONTACT_LEASE_MS, permittedMs);
  }

  /** Whether a reading of the worker's clock is available. */
  get isClockKnown(): boolean {
    return this.workerClockMs !== undefined;
  }

  /**
   * Stores the clock reading of the reply to an order sent at `sentAt`; the worker
   * has not read its clock before `earliestAt`.
   */
  updateClock(
    workerMs: number,
    sentAt: number,
    now: number,
    earliestAt = sentAt,
  ): void {
    if (sentAt < this.sentAt) return;
    this.suspended.record(workerMs, earliestAt, now);
    // A lease may be active whose end was not known before the first reading.
    if (!this.isClockKnown) this.end = workerMs + this.leaseMs;
    this.workerClockMs = workerMs;
    this.sentAt = sentAt;
    this.receivedAt = now;
  }

  /** Discards the clock reading of an earlier process instance. */
  reset(): void {
    this.workerClockMs = undefined;
    this.sentAt = Number.NEGATIVE_INFINITY;
    this.end = 0;
    this.suspended.reset();
  }

  /**
   * Extends the lease; returns its end on the worker's clock, in ms, or undefined
   * if it must not be extended. It ends before callers send a job again that an
   * entry node has given up, however late that becomes known: `contact` is the
   * oldest one with the entry nodes of the worker's jobs.
   */
  extend(now: number, contact: JobContact): number | undefined {
    this.limit = this.limitOf(contact);
    const durationMs = Math.min(this.leaseMs, this.limit - now);
    if (durationMs <= 0) return undefined;
    const end = Math.floor(this.clockAt(now) + durationMs);
    this.end = Math.max(this.end, end);
    return end;
  }

  /**
   * Whether a run of a job may be started: the lease that the worker has already,
   * which cannot be shortened, ends in time.
   */
  permits(contact: JobContact, now: number): boolean {
    const leftMs = Math.max(0, this.end - this.clockAt(now));
    return now + leftMs <= this.limitOf(contact);
  }

  /** Takes over a lease of another dispatcher, whose end is not known. */
  inherit(now: number): void {
    this.end = Math.max(this.end, this.clockAt(now) + this.leaseMs);
  }

  /** How long the worker may delay the reply to a poll, in ms. */
  pollWaitMs(now: number): number {
    const {POLL_WAIT_MS, SHORT_POLL_WAIT_MS} = LeaseTiming;
    const leftMs = this.limit - now;
    const isShort = leftMs > 0 && leftMs < this.leaseMs;
    return isShort ? SHORT_POLL_WAIT_MS : POLL_WAIT_MS;
  }

  /** Whether the lease is too short for another run. */
  isTooShort(now: number): boolean {
    return this.limit - now < MIN_START_LEASE_MS;
  }

  /** What an expiry is based on; empty without a reading of the clock. */
  describe(now: number): {clockAgeMs?: number; leaseLeftMs?: number} {
    if (this.workerClockMs === undefined) return {};
    const leaseLeftMs = Math.max(0, this.end - this.workerClockMs);
    return {clockAgeMs: now - this.receivedAt, leaseLeftMs};
  }

  /** Whether the lease has certainly expired. */
  isExpired(now: number): boolean {
    if (this.workerClockMs === undefined) return false;
    const leftMs = Math.max(0, this.end - this.workerClockMs) / MIN_CLOCK_RATE;
    return now >= this.receivedAt + leftMs + EXPIRY_SLACK_MS;
  }

  /**
   * End of the longest lease that a contact permits. It is older than it looks by
   * the time in which the machine of this node was suspended.
   */
  private limitOf({contactAt}: JobContact): number {
    return contactAt - this.suspended.since(contactAt) + this.contactLeaseMs;
  }

  /** Estimate of the worker's clock, in ms; not ahead of it. */
  private clockAt(now: number): number {
    return (this.workerClockMs ?? 0) + (now - this.receivedAt);
  }
}
