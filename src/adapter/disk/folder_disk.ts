import {mkdirSync, readFileSync, readdirSync} from 'node:fs';
import {open, rename, rm} from 'node:fs/promises';
import type {FileHandle} from 'node:fs/promises';
import {join} from 'node:path';
import {Result} from 'true-myth';
import {Disk} from '../../core/config/storage/disk.js';
import type {DiskError} from '../../core/config/storage/disk_error.js';
import type {DiskOp} from '../../core/config/storage/disk_op.js';
import type {Clock} from '../../core/clock/clock.js';
import {FolderLock} from './folder_lock.js';

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

/** Data folder in the file system, locked against other processes. */
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
    return tryRead(() =>
      readdirSync(this.dir).filter(name => name !== FolderLock.FILE),
    );
  }

  override read(file: string): Result<Uint8Array, DiskError> {
    return tryRead(() => readFileSync(join(this.dir, file)));
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
    const files = new Map<string, FileHandle>();
    try {
      for (const op of ops) {
        try {
          await this.runOne(op, files);
        } catch (err) {
          return Result.err(toDiskError(err, op.op));
        }
      }
      return Result.ok(undefined);
    } finally {
      for (const file of files.values()) await file.close();
    }
  }

  private async runOne(
    op: DiskOp,
    files: Map<string, FileHandle>,
  ): Promise<void> {
    switch (op.op) {
      case 'append': {
        const file = await this.openFile(op.file, 'a', files);
        await file.appendFile(op.bytes);
        return;
      }
      case 'sync':
        return (await this.openFile(op.file, 'r+', files)).sync();
      case 'sync_folder':
        return (await this.openFile('.', 'r', files)).sync();
      case 'rename':
        return rename(join(this.dir, op.file), join(this.dir, op.to));
      case 'remove':
        return rm(join(this.dir, op.file), {force: true});
    }
  }

  private async openFile(
    name: string,
    flags: string,
    files: Map<string, FileHandle>,
  ): Promise<FileHandle> {
    const existing = files.get(name);
    if (existing) return existing;
    const file = await open(join(this.dir, name), flags, FILE_MODE);
    files.set(name, file);
    return file;
  }
}

function tryRead<T>(read: () => T): Result<T, DiskError> {
  try {
    return Result.ok(read());
  } catch (err) {
    return Result.err(toDiskError(err, 'read'));
  }
}

function toDiskError(err: unknown, op: string): DiskError {
  const {code} = err as NodeJS.ErrnoException;
  const detail = `${op}: ${String(err)}`;
  if (code !== undefined && DISK_FULL.has(code)) return {kind: 'full', detail};
  return {kind: op.startsWith('sync') ? 'sync' : 'io', detail};
}
