/** What a daemon says about itself. */
export interface DaemonStatus {
  readonly node: string;
  readonly zone: string;
  /** Whether the balancer should send requests here. */
  readonly ready: boolean;
  readonly draining: boolean;
  readonly uptime_ms: number;
  /** Whether this node is the dispatcher of its zone. */
  readonly leads: boolean;
  /** The zone's dispatcher as far as this node knows. */
  readonly dispatcher: string | null;
  readonly epoch: number | null;
  /** Jobs remembered, the finished ones included. */
  readonly jobs: number;
  /** Tasks that wait for a slot; 0 at a node that does not lead. */
  readonly queued_tasks: number;
  readonly workers: number;
  readonly slots: number;
  readonly slots_used: number;
  readonly config_version: number;
  readonly config_leader: string | null;
}
