/** One step of a generated history of the pool, after `waitMs`. */
export type PoolStep = {readonly waitMs: number} & (
  | {
      readonly kind: 'submit';
      readonly tasks: number;
      readonly runMs: number;
      /** Whether the first task crashes each worker that starts it. */
      readonly isDeadly: boolean;
    }
  /** A worker crashes by itself. */
  | {readonly kind: 'crash'; readonly worker: number}
  /** A worker loses power: nothing refuses connections to it. */
  | {readonly kind: 'power_loss'; readonly worker: number}
  /** A worker is unreachable for a while and runs on. */
  | {readonly kind: 'cut'; readonly worker: number; readonly forMs: number}
  /** Stop orders to all workers are lost for a while. */
  | {readonly kind: 'lose_stops'; readonly forMs: number}
  /** The capacity of a worker shrinks or grows. */
  | {readonly kind: 'resize'; readonly worker: number; readonly tasks: number}
  /**
   * Another dispatcher takes over. Open jobs are submitted to it, but for those
   * whose callers leave: of each four jobs, the one with this number.
   */
  | {readonly kind: 'take_over'; readonly leaves: number}
  /** A caller sends a job again that was answered. */
  | {readonly kind: 'resubmit'; readonly job: number}
  /** The connection of a caller breaks, and it sends its job again. */
  | {readonly kind: 'reconnect'; readonly job: number}
);
