import type {ClassConfig} from '../config/class_config.js';

/** Task that waits for a slot. */
export interface QueuedTask {
  readonly key: string;
  readonly index: number;
  readonly className: string;
  readonly tenant: string;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Epoch milliseconds of the job's submission. */
  readonly submittedAt: number;
  /** Number of tasks of the job. */
  readonly jobSize: number;
  readonly config: ClassConfig;
  /** Whether both the class and the request allow another attempt. */
  readonly repeatable: boolean;
  /** Worker of the last attempt; used only if no other one is suitable. */
  avoid: string | undefined;
  /** True once the task needs no slot; queues then discard it lazily. */
  removed: boolean;
}
