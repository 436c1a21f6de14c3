import type {Result} from 'true-myth';
import type {DiskError} from './disk_error.js';
import type {DiskOp} from './disk_op.js';

/**
 * Access to the data folder. A file's content is durable only after a
 * successful `sync`, and its name only after a successful `sync_folder`.
 */
export abstract class Disk {
  /** Names of all files; called only while the log is being opened. */
  abstract list(): Result<string[], DiskError>;

  /** Content of a file; called only while the log is being opened. */
  abstract read(file: string): Result<Uint8Array, DiskError>;

  /**
   * Runs the operations in order, after those of earlier calls, and stops at
   * the first failure. If a sync has failed, a later successful sync does not
   * make its data durable.
   */
  abstract run(
    ops: readonly DiskOp[],
    done: (result: Result<void, DiskError>, now: number) => void,
  ): void;
}
