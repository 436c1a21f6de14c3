import type {Result} from 'true-myth';
import type {DiskError} from './disk_error.js';
import type {DiskOp} from './disk_op.js';

/**
 * The data folder. Nothing is durable before the `sync` of a file's content and
 * the `sync_folder` of its name have succeeded.
 */
export abstract class Disk {
  /** Names of all files; only used while the folder is opened. */
  abstract list(): Result<string[], DiskError>;

  /** Content of a file; only used while the folder is opened. */
  abstract read(file: string): Result<Uint8Array, DiskError>;

  /**
   * Runs the steps in order, after those of earlier calls, and stops at the
   * first that fails. A later success says nothing about a failed step.
   */
  abstract run(
    ops: readonly DiskOp[],
    done: (result: Result<void, DiskError>, now: number) => void,
  ): void;
}
