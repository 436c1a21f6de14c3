import {
  closeSync,
  fsync,
  mkdirSync,
  openSync,
  readFileSync,
  readdirSync,
  renameSync,
  rmSync,
  write,
} from 'node:fs';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {Result} from 'true-myth';
import {Disk} from '../../core/config/storage/disk.js';
import type {DiskError} from '../../core/config/storage/disk_error.js';
import type {DiskOp} from '../../core/config/storage/disk_op.js';
import type {Clock} from '../../core/clock/clock.js';
import {FolderLock} from './folder_lock.js';

const writeAsync = promisify(write);
const fsyncAsync = promisify(fsync);
const DISK_FULL = new Set(['ENOSPC', 'EDQUOT']);
const FOLDER_MODE = 0o700;
const FILE_MODE = 0o600;

interface FolderDiskOptions {
  /**
   * Whether to lock the folder against a second process. Locking does not
   * work where running processes reuse the ids of dead ones, and is not needed
   * where the platform runs one process per folder. Default true.
   */
  readonly takesLock?: boolean;
}

/**
 * Data folder in the file system, locked against other processes. Only writes and
 * syncs, which wait for the disk, are asynchronous: each asynchronous call takes a
 * turn of the event loop, which is long on an overloaded machine.
 */
export class FolderDisk extends Disk {
  private lastRun: Promise<unknown> = Promise.resolve();
  private lock: FolderLock | undefined;

  constructor(
    private readonly dir: string,
    private readonly clock: Clock,
    private readonly opts: FolderDiskOptions = {},
  ) {
    super();
  }

  /** Creates the folder if it does not exist, and locks it. */
  open(): Result<void, string> {
    try {
      mkdirSync(this.dir, {recursive: true, mode: FOLDER_MODE});
    } catch (err) {
      return Result.err(`data_dir: ${String(err)}`);
    }
    if (!(this.opts.takesLock ?? true)) return Result.ok(undefined);
    return FolderLock.acquire(this.dir).map(lock => {
      this.lock = lock;
    });
  }

  /** Waits for the running operations and unlocks the folder. */
  async close(): Promise<void> {
    await this.lastRun;
    this.lock?.release();
    this.lock = undefined;
  }

  override list(): Result<string[], DiskError> {
    return tryRun('read', () =>
      readdirSync(this.dir).filter(name => name !== FolderLock.FILE),
    );
  }

  override read(file: string): Result<Uint8Array, DiskError> {
    return tryRun('read', () => readFileSync(join(this.dir, file)));
  }

  override run(
    ops: readonly DiskOp[],
    done: (result: Result<void, DiskError>, now: number) => void,
  ): void {
    const result = this.lastRun.then(() => this.runAll(ops));
    this.lastRun = result;
    void result.then(value => done(value, this.clock.now()));
  }

  private async runAll(
    ops: readonly DiskOp[],
  ): Promise<Result<void, DiskError>> {
    // A file stays open from its first append to its sync, so that the sync
    // reports every write error since then.
    const files = new Map<string, number>();
    let result: Result<void, DiskError> = Result.ok(undefined);
    for (const op of ops) {
      try {
        await this.runOne(op, files);
      } catch (err) {
        result = Result.err(toDiskError(err, op.op));
        break;
      }
    }
    for (const fd of files.values()) {
      const closed = tryRun('close', () => closeSync(fd));
      if (result.isOk) result = closed;
    }
    return result;
  }

  private async runOne(op: DiskOp, files: Map<string, number>): Promise<void> {
    switch (op.op) {
      case 'append':
        return writeAll(this.openFile(op.file, 'a', files), op.bytes);
      case 'sync':
        return fsyncAsync(this.openFile(op.file, 'r+', files));
      case 'sync_folder':
        return fsyncAsync(this.openFile('.', 'r', files));
      case 'rename':
        return renameSync(join(this.dir, op.file), join(this.dir, op.to));
      case 'remove':
        return rmSync(join(this.dir, op.file), {force: true});
    }
  }

  private openFile(
    name: string,
    flags: string,
    files: Map<string, number>,
  ): number {
    const existing = files.get(name);
    if (existing !== undefined) return existing;
    const fd = openSync(join(this.dir, name), flags, FILE_MODE);
    files.set(name, fd);
    return fd;
  }
}

async function writeAll(fd: number, bytes: Uint8Array): Promise<void> {
  let at = 0;
  while (at < bytes.length) {
    const {bytesWritten} = await writeAsync(fd, bytes, at);
    at += bytesWritten;
  }
}

function tryRun<T>(op: string, call: () => T): Result<T, DiskError> {
  try {
    return Result.ok(call());
  } catch (err) {
    return Result.err(toDiskError(err, op));
  }
}

function toDiskError(err: unknown, op: string): DiskError {
  const {code} = err as NodeJS.ErrnoException;
  const detail = `${op}: ${String(err)}`;
  if (code !== undefined && DISK_FULL.has(code)) return {kind: 'full', detail};
  return {kind: op.startsWith('sync') ? 'sync' : 'io', detail};
}
