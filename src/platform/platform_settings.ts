/** What a process of the platform is told at its start. */
export interface PlatformSettings {
  readonly node: string;
  readonly ip: string;
  readonly zone: string;
  /** Addresses as host and port, of what this machine serves. */
  readonly callers: string | undefined;
  readonly readiness: string | undefined;
  readonly control: string | undefined;
  /** Port for messages between nodes; the same on all machines. */
  readonly peerPort: number;
  /** IP addresses of core machines. */
  readonly seeds: readonly string[];
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  readonly dataDir: string | undefined;
  /** Number of disks that may be lost at one time. */
  readonly lostDisks: number;
  /** Longest lease that workers grant, in ms. */
  readonly leaseMs: number;
  /** Time between SIGTERM and SIGKILL, in ms. */
  readonly graceMs: number;
}
