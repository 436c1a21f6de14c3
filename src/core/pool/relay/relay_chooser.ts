import CRC32 from 'crc-32';
import type {Clock} from '../../clock/clock.js';
import type {NodeDirectory} from '../node_directory.js';

/** Smaller fleets are ordered directly; a relay only adds a hop there. */
const MIN_WORKERS = 64;
/** A node that has not been heard for this long carries nothing out. */
const HEARD_MS = 1_800;
/** After an order without a reply a node gets no others for this long. */
const PAUSE_MS = 3_000;
/** Interval at which the choice is made anew. */
const REVIEW_MS = 250;

/** Chooses the entry node that carries out the orders to a worker. */
export class RelayChooser {
  private readonly zones = new Map<string, string>();
  private readonly chosen = new Map<string, string | undefined>();
  private readonly pausedUntil = new Map<string, number>();
  private reviewedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly directory: NodeDirectory,
    private readonly clock: Clock,
  ) {}

  /** Tells the workers that there are, by id, and their zones. */
  setWorkers(workers: Iterable<{readonly id: string; readonly zone: string}>) {
    this.zones.clear();
    for (const {id, zone} of workers) this.zones.set(id, zone);
  }

  /** Undefined if the worker is to be ordered directly. */
  choose(worker: string): string | undefined {
    const zone = this.zones.get(worker);
    if (zone === undefined || this.zones.size < MIN_WORKERS) return undefined;
    const now = this.clock.now();
    if (now - this.reviewedAt >= REVIEW_MS) {
      this.reviewedAt = now;
      this.chosen.clear();
    }
    if (!this.chosen.has(worker)) {
      this.chosen.set(worker, this.find(worker, zone, now));
    }
    return this.chosen.get(worker);
  }

  /** A node has not answered. */
  pause(node: string): void {
    this.pausedUntil.set(node, this.clock.now() + PAUSE_MS);
    this.chosen.clear();
  }

  /**
   * The highest hash of worker and node wins, so that few workers change their
   * node, and with it their connections, when nodes come and go.
   */
  private find(worker: string, zone: string, now: number): string | undefined {
    let best: string | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const node of this.directory.relayIds(now - HEARD_MS)) {
      if (this.directory.zoneOf(node) !== zone) continue;
      if (now < (this.pausedUntil.get(node) ?? 0)) continue;
      const score = CRC32.str(`${worker} ${node}`);
      if (score <= bestScore) continue;
      best = node;
      bestScore = score;
    }
    return best;
  }
}
