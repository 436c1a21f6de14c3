import {Result} from 'true-myth';
import type {Clock} from '../../src/core/clock/clock.js';
import {Disk} from '../../src/core/config/storage/disk.js';
import type {DiskError} from '../../src/core/config/storage/disk_error.js';
import type {DiskOp} from '../../src/core/config/storage/disk_op.js';
import type {SeededRandom} from './seeded_random.js';

const MIN_SYNC_MS = 1;
const SYNC_SPREAD_MS = 6;
const WRITE_MS = 0.05;

interface Inode {
  /** Content in the page cache, as a read returns it. */
  cache: Buffer;
  /** Content that survives a crash of the VM. */
  durable: Buffer;
  /** Byte ranges dropped by a failed sync; later syncs do not write them. */
  readonly lost: Array<readonly [number, number]>;
}

type Done = (result: Result<void, DiskError>, now: number) => void;

/**
 * A data folder in memory. Loses data that was not synced in a crash, may tear
 * the last write, and simulates full disks and failed syncs on demand.
 */
export class FakeDisk extends Disk {
  isFull = false;
  /** Number of following syncs that fail. */
  failingSyncs = 0;
  /** Number of syncs so far, to measure the cost of a change. */
  syncs = 0;
  private names = new Map<string, Inode>();
  private durableNames = new Map<string, Inode>();
  /** File name changes since the last sync of the folder. */
  private nameChanges: Array<(names: Map<string, Inode>) => void> = [];
  private readonly queue: Array<{ops: DiskOp[]; done: Done}> = [];
  private isBusy = false;
  private isDown = false;
  /** Raised when the process ends; operations of earlier ones are dropped. */
  private generation = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: SeededRandom,
  ) {
    super();
  }

  override list(): Result<string[], DiskError> {
    return Result.ok([...this.names.keys()]);
  }

  override read(file: string): Result<Uint8Array, DiskError> {
    const inode = this.names.get(file);
    return inode
      ? Result.ok(Buffer.from(inode.cache))
      : Result.err({kind: 'io', detail: `${file} is absent`});
  }

  override run(ops: readonly DiskOp[], done: Done): void {
    if (this.isDown) return;
    this.queue.push({ops: [...ops], done});
    this.next();
  }

  /** Changes a file's content, including synced bytes, like a bad sector. */
  corrupt(file: string, change: (bytes: Buffer) => Buffer): void {
    const inode = this.names.get(file)!;
    inode.cache = change(Buffer.from(inode.cache));
    inode.durable = Buffer.from(inode.cache);
  }

  /** Starts a new process that uses the folder. */
  restart(): void {
    this.isDown = false;
  }

  /** Ends the process; written data stays in the page cache. */
  kill(): void {
    this.isDown = true;
    this.generation += 1;
    this.queue.length = 0;
    this.isBusy = false;
  }

  /** Crashes the VM; only synced data is certain to survive. */
  crash(): void {
    this.kill();
    const kept = this.random.integerBelow(this.nameChanges.length + 1);
    for (const change of this.nameChanges.slice(0, kept)) {
      change(this.durableNames);
    }
    this.nameChanges = [];
    this.names = new Map();
    for (const [name, inode] of this.durableNames) {
      const content = this.tear(inode);
      const survivor = {cache: content, durable: content, lost: []};
      this.names.set(name, survivor);
    }
    this.durableNames = new Map(this.names);
  }

  /** Replaces the disk by an empty one. */
  wipe(): void {
    this.kill();
    this.names.clear();
    this.durableNames.clear();
    this.nameChanges = [];
  }

  private tear(inode: Inode): Buffer {
    const {cache, durable} = inode;
    const extra = cache.length - durable.length;
    if (extra <= 0) return Buffer.from(durable);
    const kept = this.random.integerBelow(extra + 1);
    const torn = Buffer.from(cache.subarray(0, durable.length + kept));
    durable.copy(torn);
    // Part of the last write may have reached the disk as zeros.
    if (kept > 0 && this.random.next() < 0.5) {
      torn.fill(
        0,
        durable.length,
        durable.length + this.random.integerBelow(kept),
      );
    }
    return torn;
  }

  private next(): void {
    const job = this.queue[0];
    if (!job || this.isBusy) return;
    this.isBusy = true;
    this.runRest(job);
  }

  /** Only writes and syncs take a turn of the event loop, as in `FolderDisk`. */
  private runRest(job: {ops: DiskOp[]; done: Done}): void {
    const {generation} = this;
    const op = job.ops.shift();
    if (!op) return this.complete(job, undefined);
    const runOne = () => {
      if (generation !== this.generation) return;
      const error = this.apply(op);
      if (error) this.complete(job, error);
      else this.runRest(job);
    };
    if (op.op === 'rename' || op.op === 'remove') return runOne();
    const isWrite = op.op === 'append';
    const syncMs = MIN_SYNC_MS + this.random.next() * SYNC_SPREAD_MS;
    this.clock.schedule(isWrite ? WRITE_MS : syncMs, runOne);
  }

  private complete(job: {done: Done}, error: DiskError | undefined): void {
    const {generation} = this;
    this.queue.shift();
    this.isBusy = false;
    const result = error ? Result.err(error) : Result.ok(undefined);
    job.done(result as Result<void, DiskError>, this.clock.now());
    if (generation === this.generation) this.next();
  }

  private apply(op: DiskOp): DiskError | undefined {
    switch (op.op) {
      case 'append':
        return this.append(op.file, Buffer.from(op.bytes));
      case 'sync':
        return this.sync(this.names.get(op.file)!);
      case 'rename':
        this.changeName(names => {
          const inode = names.get(op.file);
          names.delete(op.file);
          if (inode) names.set(op.to, inode);
        });
        return undefined;
      case 'remove':
        if (!this.names.has(op.file)) return undefined;
        this.changeName(names => names.delete(op.file));
        return undefined;
      case 'sync_folder':
        this.syncs += 1;
        if (this.isSyncFailing()) return {kind: 'sync', detail: 'fake'};
        this.durableNames = new Map(this.names);
        this.nameChanges = [];
        return undefined;
    }
  }

  private append(file: string, bytes: Buffer): DiskError | undefined {
    if (!this.names.has(file)) {
      const fresh = {cache: Buffer.alloc(0), durable: Buffer.alloc(0)};
      const inode = {...fresh, lost: []};
      this.changeName(names => names.set(file, inode));
    }
    const inode = this.names.get(file)!;
    // A full disk writes only part of the data.
    const taken = this.isFull
      ? this.random.integerBelow(bytes.length)
      : bytes.length;
    inode.cache = Buffer.concat([inode.cache, bytes.subarray(0, taken)]);
    return this.isFull ? {kind: 'full', detail: 'no space (fake)'} : undefined;
  }

  private sync(inode: Inode): DiskError | undefined {
    this.syncs += 1;
    if (this.isSyncFailing()) {
      // The kernel drops the dirty pages and reports the error only once.
      inode.lost.push([inode.durable.length, inode.cache.length]);
      return {kind: 'sync', detail: 'sync failed (fake)'};
    }
    inode.durable = Buffer.from(inode.cache);
    for (const [from, to] of inode.lost) inode.durable.fill(0, from, to);
    return undefined;
  }

  private isSyncFailing(): boolean {
    if (this.failingSyncs === 0) return false;
    this.failingSyncs -= 1;
    return true;
  }

  private changeName(change: (names: Map<string, Inode>) => void): void {
    change(this.names);
    this.nameChanges.push(change);
  }
}
