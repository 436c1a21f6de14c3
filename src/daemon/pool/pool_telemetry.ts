import type {ConsolaInstance} from 'consola';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Clock} from '../../core/clock/clock.js';
import type {JobPhase} from '../../core/pool/job/job_phase.js';
import type {PoolAnswer} from '../../core/pool/job/pool_answer.js';
import type {PoolObserver} from '../../core/pool/pool_observer.js';

type Fields = Readonly<Record<string, unknown>>;

/**
 * Maximum log lines of one event per second. Further ones are dropped, and their
 * number is logged in one line.
 */
const MAX_LINES_PER_SECOND = 150;
const WINDOW_MS = 1_000;
/** Upper bounds of the response time buckets, in seconds. */
const BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/** Writes log lines and metrics about events of jobs and workers. */
export class PoolTelemetry implements PoolObserver {
  readonly registry = new Registry();
  /** Number of each event; there are several for each task. */
  private readonly totals = new Map<string, number>();
  private readonly responses: Histogram;
  private readonly phases: Histogram;
  private readonly jobs: Counter;
  private readonly gauges = new Map<string, Gauge>();
  private windowStart = 0;
  private isWindowScheduled = false;
  /** Number of lines of each event in the current window. */
  private lineCounts = new Map<string, number>();

  constructor(
    private readonly log: ConsolaInstance,
    private readonly clock: Clock,
  ) {
    const registers = [this.registry];
    const events: Counter = new Counter({
      name: 'pimentoyoke_events_total',
      help: 'Decisions and observations by event',
      labelNames: ['event'],
      registers,
      collect: () => {
        events.reset();
        for (const [event, count] of this.totals) events.inc({event}, count);
      },
    });
    this.responses = new Histogram({
      name: 'pimentoyoke_response_seconds',
      help: 'Time from the arrival of a job to its answer',
      labelNames: ['queue', 'kind'],
      buckets: BUCKETS_S,
      registers,
    });
    this.phases = new Histogram({
      name: 'pimentoyoke_phase_seconds',
      help: 'Time of completed jobs by phase',
      labelNames: ['queue', 'phase'],
      buckets: BUCKETS_S,
      registers,
    });
    this.jobs = new Counter({
      name: 'pimentoyoke_jobs_total',
      help: 'Answered jobs by outcome',
      labelNames: ['queue', 'kind', 'reason'],
      registers,
    });
  }

  /** Number of each event since the start. */
  get counts(): ReadonlyMap<string, number> {
    return this.totals;
  }

  recordJobEvent(event: string, job: string, fields: Fields): void {
    this.incrementCounter(event);
    if (this.mayLog(event)) this.log.info(event, {job, ...fields});
  }

  recordStateChange(event: string, fields: Fields): void {
    this.incrementCounter(event);
    if (this.mayLog(event)) this.log.info(event, fields);
  }

  recordResponseTime(
    queue: string,
    kind: PoolAnswer['kind'],
    ms: number,
    reason = '',
  ): void {
    this.responses.observe({queue, kind}, ms / 1_000);
    this.jobs.inc({queue, kind, reason});
  }

  recordPhase(queue: string, phase: JobPhase, ms: number): void {
    this.phases.observe({queue, phase}, ms / 1_000);
  }

  incrementCounter(event: string): void {
    this.totals.set(event, (this.totals.get(event) ?? 0) + 1);
  }

  /** Adds a gauge whose value is read whenever the metrics are fetched. */
  addGauge(name: string, help: string, read: () => number): void {
    const registers = [this.registry];
    const gauge: Gauge = new Gauge({
      name: `pimentoyoke_${name}`,
      help,
      registers,
      collect: () => gauge.set(read()),
    });
    this.gauges.set(name, gauge);
  }

  /** Adds a gauge with one value per zone, read as in `addGauge`. */
  addZoneGauge(
    name: string,
    help: string,
    read: () => ReadonlyArray<readonly [zone: string, value: number]>,
  ): void {
    const registers = [this.registry];
    const gauge: Gauge = new Gauge({
      name: `pimentoyoke_${name}`,
      help,
      labelNames: ['worker_zone'],
      registers,
      collect: () => {
        gauge.reset();
        for (const [zone, value] of read()) {
          gauge.set({worker_zone: zone}, value);
        }
      },
    });
    this.gauges.set(name, gauge);
  }

  private mayLog(event: string): boolean {
    const now = this.clock.now();
    if (now - this.windowStart >= WINDOW_MS) this.startWindow(now);
    const count = (this.lineCounts.get(event) ?? 0) + 1;
    this.lineCounts.set(event, count);
    if (count === MAX_LINES_PER_SECOND + 1) this.scheduleWindow();
    return count <= MAX_LINES_PER_SECOND;
  }

  /** Logs the number of dropped lines although no further event may follow. */
  private scheduleWindow(): void {
    if (this.isWindowScheduled) return;
    this.isWindowScheduled = true;
    this.clock.schedule(WINDOW_MS, () => {
      this.isWindowScheduled = false;
      this.startWindow(this.clock.now());
    });
  }

  private startWindow(now: number): void {
    for (const [event, count] of this.lineCounts) {
      const suppressed = count - MAX_LINES_PER_SECOND;
      if (suppressed > 0) this.log.warn('log_sampled', {event, suppressed});
    }
    this.lineCounts.clear();
    this.windowStart = now;
  }
}
