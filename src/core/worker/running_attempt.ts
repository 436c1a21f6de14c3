/** One attempt that holds a slot of a worker. */
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
  /** Epoch milliseconds of the change to the current phase. */
  since: number;
  /** True once a stop message was sent for it. */
  stopping: boolean;
}
