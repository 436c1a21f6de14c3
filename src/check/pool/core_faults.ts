import type {DeploymentBench} from '../../../test-support/fakes/pool/deployment_bench.js';

/** Time that a process takes to stop as planned, or to start again. */
const RESTART_MS = 700;
/** Time for which workers cannot reach core nodes that have started again. */
const UNREACHED_MS = 1_000;

/** Stops, losses and restarts of the core nodes of a deployment. */
export class CoreFaults {
  private allDownUntil = 0;

  constructor(
    private readonly bench: DeploymentBench,
    /** Calls `heal` after a time. */
    private readonly after: (ms: number, heal: () => unknown) => void,
  ) {}

  stop(kind: 'kill' | 'suspend' | 'drain', id: string, forMs: number): void {
    const {bench} = this;
    const known = bench.cores.get(id);
    if (known?.clock.isSuspended !== false || bench.isClosed(id)) return;
    // Another process may have started meanwhile.
    const isSame = () => bench.cores.get(id) === known;
    if (kind === 'suspend') {
      bench.suspend(id);
      this.after(forMs, () => isSame() && bench.resume(id));
      return;
    }
    if (kind === 'drain') {
      bench.announceDrain(id);
      bench.close(id);
      this.after(RESTART_MS, () => isSame() && bench.kill(id));
    } else bench.kill(id);
    this.after(RESTART_MS + forMs, () => this.start(id));
  }

  /**
   * Ends all core nodes without notice; others start after `forMs`. The workers of
   * `zone` cannot reach these for a second.
   */
  loseAll(forMs: number, zone: string | undefined): void {
    const {bench} = this;
    for (const id of [...bench.cores.keys()]) bench.kill(id);
    this.allDownUntil = Math.max(this.allDownUntil, bench.now + forMs);
    this.after(forMs, () => {
      for (const id of bench.seeds) this.start(id);
      if (zone === undefined || bench.now < this.allDownUntil) return;
      const workers = [...bench.workers.keys()].filter(id => id[0] === zone);
      bench.isolate(bench.seeds, workers);
      this.after(UNREACHED_MS, () => bench.heal());
    });
  }

  private start(id: string): void {
    const {bench} = this;
    if (bench.cores.has(id) || bench.now < this.allDownUntil) return;
    bench.startCore(id);
  }
}
