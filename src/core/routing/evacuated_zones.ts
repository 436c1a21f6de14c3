import type {Config} from '../config/config.js';

type VersionedZones = Pick<Config, 'version' | 'evacuated'>;

/** Retention of ended evacuations; longer than any return in steps. */
const RETENTION_MS = 60_000;

/**
 * Evacuated zones in the configuration in force at this node. A new evacuation
 * takes effect at once, the end of one at the next tick, which sets the time
 * from which load returns in steps.
 */
export class EvacuatedZones {
  private zones: ReadonlySet<string> = new Set();
  /** List in the configuration when `zones` was last compared with it. */
  private list: readonly string[] = [];
  private readonly restored = new Map<string, number>();

  /** `config` returns the newest configuration that the node may use. */
  constructor(private readonly config: () => VersionedZones | undefined) {}

  /** Version of the configuration in force; 0 without a configuration. */
  get version(): number {
    return this.config()?.version ?? 0;
  }

  /** Evacuated zones; the same object until they change. */
  get all(): ReadonlySet<string> {
    const {evacuated = this.list} = this.config() ?? {};
    if (evacuated !== this.list) {
      this.list = evacuated;
      const added = evacuated.filter(zone => !this.zones.has(zone));
      if (added.length > 0) this.zones = new Set([...this.zones, ...added]);
    }
    return this.zones;
  }

  has(zone: string): boolean {
    return this.all.has(zone);
  }

  /** Zones whose evacuation has ended recently, and when it ended here. */
  get restoredAt(): ReadonlyMap<string, number> {
    return this.restored;
  }

  /**
   * Handles ended evacuations. Called also by nodes that do not dispatch, so
   * that a dispatcher that starts during a return continues it.
   */
  tick(now: number): void {
    for (const [zone, at] of this.restored) {
      if (now - at > RETENTION_MS) this.restored.delete(zone);
    }
    const ended = [...this.all].filter(zone => !this.list.includes(zone));
    if (ended.length === 0) return;
    for (const zone of ended) this.restored.set(zone, now);
    this.zones = new Set(this.list);
  }
}
