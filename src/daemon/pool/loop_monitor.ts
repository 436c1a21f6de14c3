import {Histogram} from 'prom-client';
import type {PoolTelemetry} from './pool_telemetry.js';

/**
 * Delay of a timer that is logged. Timed rules between nodes have a margin of
 * some 300 ms.
 */
const LATE_MS = 200;
/** Time without such a delay after which the event loop has recovered. */
const RECOVERY_MS = 2_000;
/** A longer delay is logged again if it exceeds the last one by this factor. */
const REPEAT_FACTOR = 2;
/** Upper bounds of the delay buckets, in seconds. */
const BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6];

/** Records how late the event loop of a process runs its timers. */
export class LoopMonitor {
  private readonly delays: Histogram;
  /** When the first delay of the current period began; undefined if none. */
  private lateSince: number | undefined;
  private lastLateAt = 0;
  private lateTicks = 0;
  private maxMs = 0;
  private loggedMs = 0;
  private sampleMaxMs = 0;

  constructor(private readonly telemetry: PoolTelemetry) {
    this.delays = new Histogram({
      name: 'pimentoyoke_loop_delay_seconds',
      help: 'Delay with which the event loop runs a periodic timer',
      buckets: BUCKETS_S,
      registers: [telemetry.registry],
    });
  }

  /** Records that a timer has fired `delayMs` late. */
  record(delayMs: number, now: number): void {
    this.delays.observe(delayMs / 1_000);
    this.sampleMaxMs = Math.max(this.sampleMaxMs, delayMs);
    if (delayMs >= LATE_MS) this.recordLate(delayMs, now);
    else if (now - this.lastLateAt >= RECOVERY_MS) this.recover(now);
  }

  /** Returns the longest delay since the last call, in ms. */
  takeMaxMs(): number {
    const maxMs = this.sampleMaxMs;
    this.sampleMaxMs = 0;
    return maxMs;
  }

  private recordLate(delayMs: number, now: number): void {
    this.lateSince ??= now - delayMs;
    this.lastLateAt = now;
    this.lateTicks += 1;
    this.maxMs = Math.max(this.maxMs, delayMs);
    if (delayMs < this.loggedMs * REPEAT_FACTOR) return;
    this.loggedMs = delayMs;
    this.telemetry.recordStateChange('loop_delayed', {
      delay_ms: Math.round(delayMs),
    });
  }

  private recover(now: number): void {
    if (this.lateSince === undefined) return;
    this.telemetry.recordStateChange('loop_recovered', {
      max_ms: Math.round(this.maxMs),
      late_ticks: this.lateTicks,
      after_ms: Math.round(now - this.lateSince),
    });
    this.lateSince = undefined;
    this.lateTicks = 0;
    this.maxMs = 0;
    this.loggedMs = 0;
  }
}
