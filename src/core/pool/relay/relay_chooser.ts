import CRC32 from 'crc-32';
import type {Clock} from '../../clock/clock.js';
import type {NodeDirectory} from '../node/node_directory.js';

/** Workers of smaller fleets are contacted directly, which saves a hop. */
const MIN_WORKERS = 64;
/**
 * The same for the holder of a zone, which relays through entry nodes only. A call
 * costs an entry process, which makes few of them, several times what it costs the
 * holder, whose code for it is compiled.
 */
const MIN_WORKERS_HELD = 128;
/** A node that has not been seen for this long is not used as relay. */
const RELAY_TIMEOUT_MS = 1_800;
/** Time for which a node that did not reply is not used as relay. */
const PAUSE_MS = 3_000;
/** Interval at which the choices are renewed. */
const REFRESH_MS = 250;

/**
 * Chooses the node that relays the orders to a worker: the core node of the
 * worker's zone, else one of the zone's entry nodes. Core nodes that do not lead
 * have little else to do, and a few links with many orders each cost the leader
 * far less than many links with few.
 */
export class RelayChooser {
  private readonly zones = new Map<string, string>();
  private readonly chosen = new Map<string, string | undefined>();
  private readonly pausedUntil = new Map<string, number>();
  private refreshedAt = Number.NEGATIVE_INFINITY;
  private mayLeaveZone = true;

  constructor(
    private readonly directory: NodeDirectory,
    private readonly clock: Clock,
  ) {}

  /**
   * Replaces the set of known workers. `mayLeaveZone` is false for the holder of a
   * zone: no core node of another zone relays, and entry nodes of the zone only from
   * MIN_WORKERS_HELD workers on.
   */
  setWorkers(
    workers: Iterable<{readonly id: string; readonly zone: string}>,
    {mayLeaveZone}: {readonly mayLeaveZone: boolean} = {mayLeaveZone: true},
  ) {
    this.zones.clear();
    this.mayLeaveZone = mayLeaveZone;
    for (const {id, zone} of workers) this.zones.set(id, zone);
  }

  /** Returns the relay, or undefined if the worker is contacted directly. */
  choose(worker: string): string | undefined {
    const zone = this.zones.get(worker);
    if (zone === undefined || this.zones.size < MIN_WORKERS) return undefined;
    const now = this.clock.now();
    if (now - this.refreshedAt >= REFRESH_MS) {
      this.refreshedAt = now;
      this.chosen.clear();
    }
    if (!this.chosen.has(worker)) {
      this.chosen.set(worker, this.find(worker, zone, now));
    }
    return this.chosen.get(worker);
  }

  /** Excludes a node that did not reply, for PAUSE_MS. */
  pause(node: string): void {
    this.pausedUntil.set(node, this.clock.now() + PAUSE_MS);
    this.chosen.clear();
  }

  private find(worker: string, zone: string, now: number): string | undefined {
    const core = this.findAmong('core', worker, zone, now);
    if (core !== undefined) return core;
    if (!this.mayLeaveZone && this.zones.size < MIN_WORKERS_HELD) {
      return undefined;
    }
    const entry = this.findAmong('entry', worker, zone, now);
    if (entry !== undefined || !this.mayLeaveZone) return entry;
    // The calls of a whole zone would overload the leader.
    return this.findAmong('core', worker, undefined, now);
  }

  /**
   * Rendezvous hashing: the node with the highest hash of worker and node wins,
   * so that few workers change relay and connections when nodes come and go.
   */
  private findAmong(
    role: 'core' | 'entry',
    worker: string,
    /** Undefined stands for all zones. */
    zone: string | undefined,
    now: number,
  ): string | undefined {
    let best: string | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const node of this.directory.relayIds(role, now - RELAY_TIMEOUT_MS)) {
      if (zone !== undefined && this.directory.zoneOf(node) !== zone) continue;
      if (now < (this.pausedUntil.get(node) ?? 0)) continue;
      const score = CRC32.str(`${worker} ${node}`);
      if (score <= bestScore) continue;
      best = node;
      bestScore = score;
    }
    return best;
  }
}
