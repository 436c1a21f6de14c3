/** Attempt that occupies a slot of a worker. */
export interface RunningAttempt {
  readonly id: string;
  readonly key: string;
  readonly task: number;
  readonly worker: string;
  readonly incarnation: string;
  readonly className: string;
  readonly tenant: string;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** `proposed` until its intent is committed, then `sent`. */
  phase: 'proposed' | 'sent';
  /** Time at which the current phase began, in epoch milliseconds. */
  since: number;
  /** True once a stop message has been sent for it. */
  stopping: boolean;
}
