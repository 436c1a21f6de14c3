/** Status of a daemon, as the admin API reports it. */
export interface DaemonStatus {
  readonly node: string;
  readonly zone: string;
  /** Whether the load balancer should send requests to this node. */
  readonly ready: boolean;
  readonly draining: boolean;
  readonly uptime_ms: number;
  /** Whether this node is the dispatcher of its zone. */
  readonly leads: boolean;
  /** Last known dispatcher of the zone. */
  readonly dispatcher: string | null;
  /** Leadership epoch of this node; null unless it is the dispatcher. */
  readonly epoch: number | null;
  /** Number of jobs in memory, including finished ones. */
  readonly jobs: number;
  /** Number of tasks waiting for a slot; 0 unless this node is the dispatcher. */
  readonly queued_tasks: number;
  /** Workers of this zone; those of other zones are not counted. */
  readonly workers: number;
  readonly slots: number;
  readonly slots_used: number;
  readonly config_version: number;
  readonly config_leader: string | null;
}
