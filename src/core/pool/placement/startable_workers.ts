import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import type {PoolObserver} from '../pool_observer.js';

/** Parts in which the workers of a zone get load again after an evacuation. */
const STEPS = 4;
/**
 * Duration of a step. Most tasks take less than 1 s, so that each part has ended
 * runs, and thus estimates of its speed, before the next part follows.
 */
const STEP_MS = 1_000;

interface StartableWorkersOptions {
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly observer: PoolObserver;
  /** Forgets the estimates of a worker, which may be cold. */
  readonly forget: (worker: string) => void;
}

/**
 * Selects the workers that may be given starts: none of an evacuated zone, and a
 * growing part of those of a zone that returns, whose caches may be cold.
 */
export class StartableWorkers {
  private known: ReadonlySet<string> = new Set();
  private source: readonly LeasedWorker[] = [];
  private selected: readonly LeasedWorker[] = [];
  /** Evacuated zones and steps to which `selected` belongs. */
  private selectedZones: ReadonlySet<string> | undefined;
  private selectedSteps = '';

  constructor(private readonly opts: StartableWorkersOptions) {}

  /** Handles evacuations that have begun or ended since the last call. */
  tick(workers: readonly LeasedWorker[]): void {
    const zones = this.opts.evacuated?.all ?? this.known;
    const {known} = this;
    if (zones === known) return;
    this.known = zones;
    for (const zone of zones) {
      if (!known.has(zone)) this.record('zone_evacuated', zone, workers);
    }
    for (const zone of known) {
      if (zones.has(zone)) continue;
      for (const {report} of workers) {
        if (report.zone === zone) this.opts.forget(report.id);
      }
      this.record('zone_restored', zone, workers);
    }
  }

  /** Workers in zones that are not evacuated. */
  remaining(workers: readonly LeasedWorker[]): readonly LeasedWorker[] {
    const {evacuated} = this.opts;
    if (!evacuated || evacuated.all.size === 0) return workers;
    return workers.filter(({report}) => !evacuated.has(report.zone));
  }

  /** Workers that may be given starts now; `workers` itself if all may. */
  select(
    workers: readonly LeasedWorker[],
    now: number,
  ): readonly LeasedWorker[] {
    const steps = this.steps(now);
    const zones = this.opts.evacuated?.all;
    if (!zones || (zones.size === 0 && steps.size === 0)) return workers;
    const signature = [...steps].join();
    const isSame =
      workers === this.source &&
      zones === this.selectedZones &&
      signature === this.selectedSteps;
    if (isSame) return this.selected;
    this.source = workers;
    this.selectedZones = zones;
    this.selectedSteps = signature;
    const counts = new Map<string, number>();
    this.selected = workers.filter(({report: {zone}}) => {
      if (zones.has(zone)) return false;
      const step = steps.get(zone);
      if (step === undefined) return true;
      const count = counts.get(zone) ?? 0;
      counts.set(zone, count + 1);
      return count % STEPS < step;
    });
    return this.selected;
  }

  /** Step of each zone that returns, from 1 to STEPS - 1. */
  private steps(now: number): ReadonlyMap<string, number> {
    const steps = new Map<string, number>();
    for (const [zone, at] of this.opts.evacuated?.restoredAt ?? []) {
      const step = 1 + Math.floor((now - at) / STEP_MS);
      if (step < STEPS) steps.set(zone, step);
    }
    return steps;
  }

  private record(
    event: string,
    zone: string,
    workers: readonly LeasedWorker[],
  ): void {
    const inZone = workers.filter(({report}) => report.zone === zone);
    this.opts.observer.recordStateChange(event, {
      worker_zone: zone,
      version: this.opts.evacuated?.version,
      workers: inZone.length,
      runs: inZone.reduce((sum, {runs}) => sum + runs.size, 0),
    });
  }
}
