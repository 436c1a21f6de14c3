import type {ClassConfig} from '../config/class_config.js';

/** One task that waits for a slot. */
export interface QueuedTask {
  readonly key: string;
  readonly index: number;
  readonly className: string;
  readonly tenant: string;
  readonly memoryMb: number;
  readonly accelerators: number;
  /** Epoch milliseconds of the job's submission. */
  readonly submittedAt: number;
  /** Tasks of the same job in all. */
  readonly jobSize: number;
  readonly config: ClassConfig;
  /** Whether class and request both allow a second attempt. */
  readonly repeatable: boolean;
  /** Worker that refused the task last; another one is preferred. */
  avoid: string | undefined;
  /** True once it needs no slot any more; queues drop it lazily. */
  removed: boolean;
}
