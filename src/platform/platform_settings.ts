/** Settings that the platform passes to a process. */
export interface PlatformSettings {
  /** Name of the VM, for logs. */
  readonly node: string;
  /** IP address of the VM, which is also its id among the nodes. */
  readonly ip: string;
  readonly zone: string;
  /** Zones of the deployment, with the region of each. */
  readonly zones: ReadonlyMap<string, string>;
  /** Listening address of the API for callers, as `HOST:PORT`; entry only. */
  readonly callers: string | undefined;
  /** Listening address of the readiness probe, as `HOST:PORT`; entry only. */
  readonly readiness: string | undefined;
  /** Listening address of the control API, as `HOST:PORT`; core only. */
  readonly control: string | undefined;
  /** Port for messages between nodes; the same on all VMs. */
  readonly peerPort: number;
  /** IP addresses of core VMs. */
  readonly seeds: readonly string[];
  /** Whether the deployment as such is started for the first time. */
  readonly isFirstStart: boolean;
  readonly dataDir: string | undefined;
  /** Number of simultaneously lost disks to tolerate. */
  readonly lostDisks: number;
  /** Longest lease that workers accept, in ms. */
  readonly leaseMs: number;
  /** Time after which callers send a job again that was not answered, in ms. */
  readonly resendMs: number;
  /** Slowdown of a task that runs outside the rack of its data. */
  readonly remoteFactor: number;
  /** Time from SIGTERM to SIGKILL, in ms. */
  readonly graceMs: number;
  /** Memory of the VM. */
  readonly memoryBytes: number;
  /** Descriptors that the process may have open, including reserved ones. */
  readonly maxOpenFiles: number;
  /** Fraction of a processor that the process may use. */
  readonly processorShare: number;
}
