import {ZoneWorker} from '../overflow/zone_worker.js';
import {EvacuatedZones} from '../routing/evacuated_zones.js';
import type {WorkerState} from '../worker/worker_state.js';
import type {DispatcherOptions} from './dispatcher_options.js';

/** Parts in which the workers of a zone get load again after an evacuation. */
const STEPS = 4;
/** Most tasks take less than 1 s, so each part warms up before the next. */
const STEP_MS = 1_000;

type EvacuationGateOptions = Pick<
  DispatcherOptions,
  'clock' | 'config' | 'policy' | 'registry' | 'requestFlush'
>;

/**
 * Withholds starts from the workers of evacuated zones, and from a shrinking
 * part of those of a zone that returns. A zone that lends slots appears as one
 * worker of its zone.
 */
export class EvacuationGate {
  private readonly evacuated: EvacuatedZones;
  private known: ReadonlySet<string> = new Set();
  /** Workers of zones that return which do not get starts yet. */
  private waiting: ReadonlySet<string> = new Set();

  constructor(private readonly opts: EvacuationGateOptions) {
    const {registry, config, clock, requestFlush} = opts;
    const evacuated = new EvacuatedZones(() => config.current());
    this.evacuated = evacuated;
    registry.withhold(
      worker => evacuated.has(zoneOf(worker)) || this.waiting.has(worker.id),
    );
    config.onChange(() => {
      if (this.tick(clock.now())) requestFlush();
    });
  }

  /** Returns whether the set of workers that may get starts has changed. */
  tick(now: number): boolean {
    const {evacuated} = this;
    const {registry} = this.opts;
    evacuated.tick(now);
    const zones = evacuated.all;
    const waiting = this.findWaiting(now);
    const isSame =
      zones === this.known &&
      waiting.size === this.waiting.size &&
      [...waiting].every(id => this.waiting.has(id));
    if (isSame) return false;
    const ended = [...this.known].filter(zone => !zones.has(zone));
    this.known = zones;
    this.waiting = waiting;
    if (ended.length > 0) this.forgetWorkersOf(ended);
    registry.eligibilityChanged();
    return true;
  }

  private findWaiting(now: number): Set<string> {
    const waiting = new Set<string>();
    for (const [zone, at] of this.evacuated.restoredAt) {
      const step = 1 + Math.floor((now - at) / STEP_MS);
      if (step >= STEPS) continue;
      let count = 0;
      for (const worker of this.opts.registry.list()) {
        if (zoneOf(worker) !== zone) continue;
        if (count % STEPS >= step) waiting.add(worker.id);
        count += 1;
      }
    }
    return waiting;
  }

  private forgetWorkersOf(zones: readonly string[]): void {
    const {registry, policy} = this.opts;
    for (const worker of registry.list()) {
      if (zones.includes(zoneOf(worker))) policy.forgetWorker(worker.id);
    }
  }
}

function zoneOf({id, announcement}: WorkerState): string {
  return ZoneWorker.zoneOf(id) ?? announcement.zone;
}
