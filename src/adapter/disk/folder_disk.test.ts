import {createHook} from 'node:async_hooks';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import type {Result} from 'true-myth';
import type {DiskError} from '../../core/config/storage/disk_error.js';
import type {DiskOp} from '../../core/config/storage/disk_op.js';
import {SystemClock} from '../system_clock.js';
import {FolderDisk} from './folder_disk.js';

async function withTempFolder(
  body: (dir: string) => Promise<void>,
): Promise<void> {
  const dir = mkdtempSync(join(tmpdir(), 'pimento-disk-'));
  try {
    await body(dir);
  } finally {
    rmSync(dir, {recursive: true, force: true});
  }
}

function openDisk(dir: string): FolderDisk {
  const disk = new FolderDisk(dir, new SystemClock());
  const opened = disk.open();
  if (opened.isErr) throw new Error(opened.error);
  return disk;
}

function run(
  disk: FolderDisk,
  ops: DiskOp[],
): Promise<Result<void, DiskError>> {
  return new Promise(resolve => disk.run(ops, resolve));
}

test('operations run in order across calls', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    const bytes = (text: string) => Buffer.from(text);
    const first = run(disk, [
      {op: 'append', file: 'a.tmp', bytes: bytes('one')},
      {op: 'sync', file: 'a.tmp'},
      {op: 'rename', file: 'a.tmp', to: 'a'},
      {op: 'sync_folder'},
    ]);
    const second = run(disk, [
      {op: 'append', file: 'a', bytes: bytes('two')},
      {op: 'sync', file: 'a'},
      {op: 'remove', file: 'absent'},
    ]);
    assert.isTrue((await first).isOk);
    assert.isTrue((await second).isOk);
    assert.equal(readFileSync(join(dir, 'a'), 'utf8'), 'onetwo');
    assert.deepEqual(disk.list().unwrapOr([]), ['a']);
    await disk.close();
  }));

test('a failed operation stops the remaining ones and is reported', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    const result = await run(disk, [
      {op: 'rename', file: 'absent', to: 'b'},
      {op: 'append', file: 'c', bytes: Buffer.from('c')},
    ]);
    assert.isTrue(result.isErr);
    assert.deepEqual(disk.list().unwrapOr([]), []);
    await disk.close();
  }));

// Guards against two daemons that use one data folder: both would vote in the
// same term.
test('opening a folder in use fails and names the process id', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    const second = new FolderDisk(dir, new SystemClock()).open();
    assert.isTrue(second.isErr);
    if (second.isErr) assert.include(second.error, String(process.pid));
    await disk.close();
    await openDisk(dir).close();
  }));

test('the lock of a dead process is taken over', () =>
  withTempFolder(async dir => {
    const {pid} = spawnSync(process.execPath, ['--version']);
    writeFileSync(join(dir, 'lock'), `${pid} 1 boot`);
    await openDisk(dir).close();
    // Same id as a running process, but another start time.
    writeFileSync(join(dir, 'lock'), `${process.pid} 1 boot`);
    await openDisk(dir).close();
  }));

// After a kill, the restarted process can have the same id and start time.
test('the lock of an earlier process with the same id is taken over', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    const lock = readFileSync(join(dir, 'lock'), 'utf8');
    await disk.close();
    writeFileSync(join(dir, 'lock'), lock);
    await openDisk(dir).close();
  }));

test('a folder is opened without a lock if takesLock is false', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    const opts = {takesLock: false};
    const second = new FolderDisk(dir, new SystemClock(), opts);
    assert.isTrue(second.open().isOk);
    await second.close();
    await disk.close();
  }));

// Each asynchronous call waits for a turn of the event loop; a vote took four of them
// and the first write of a new member 21, seconds on an overloaded machine.
test('only writes and syncs wait for a turn of the event loop', () =>
  withTempFolder(async dir => {
    const disk = openDisk(dir);
    let calls = 0;
    const hook = createHook({
      init: (_id, type) => {
        if (/^(FSREQ|FILEHANDLE)/.test(type)) calls += 1;
      },
    }).enable();
    const done = await run(disk, [
      {op: 'remove', file: 'a.tmp'},
      {op: 'append', file: 'a.tmp', bytes: Buffer.from('one')},
      {op: 'sync', file: 'a.tmp'},
      {op: 'rename', file: 'a.tmp', to: 'a'},
      {op: 'sync_folder'},
    ]);
    hook.disable();
    assert.isTrue(done.isOk);
    assert.equal(calls, 3);
    await disk.close();
  }));
