import {readFileSync, unlinkSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Result} from 'true-myth';

const FILE = 'lock';
/** Folders that this process has locked. */
const lockedFolders = new Set<string>();

/**
 * A file that names the process which uses the folder. A process is told apart
 * from a later one with the same id by its start time and the boot, so the lock
 * of a dead process does not stand in the way.
 */
export class FolderLock {
  static readonly FILE = FILE;

  private constructor(private readonly dir: string) {
    lockedFolders.add(dir);
  }

  static acquire(dir: string): Result<FolderLock, string> {
    const path = join(dir, FILE);
    const holder = readHolder(path);
    if (holder !== undefined) {
      if (lockedFolders.has(dir) || isRunning(holder)) {
        return Result.err(
          `data_dir: ${dir} is in use by process ${holder.split(' ')[0]}`,
        );
      }
      unlinkSync(path);
    }
    try {
      writeFileSync(path, processIdentity(process.pid), {
        flag: 'wx',
        mode: 0o600,
      });
    } catch (err) {
      return Result.err(`data_dir: cannot lock ${dir}: ${String(err)}`);
    }
    return Result.ok(new FolderLock(dir));
  }

  release(): void {
    lockedFolders.delete(this.dir);
    unlinkSync(join(this.dir, FILE));
  }
}

function readHolder(path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return undefined;
  }
}

function isRunning(holder: string): boolean {
  const pid = Number(holder.split(' ')[0]);
  if (!Number.isInteger(pid) || pid <= 0) return false;
  // A restarted process can get the id of the one that was killed.
  if (pid === process.pid) return false;
  try {
    process.kill(pid, 0);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ESRCH') return false;
  }
  return !isZombie(pid) && processIdentity(pid) === holder;
}

/**
 * A process that has ended and whose parent has not collected it yet still
 * answers signals, but uses no folder.
 */
function isZombie(pid: number): boolean {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    return stat.slice(stat.lastIndexOf(')') + 2).startsWith('Z');
  } catch {
    return false;
  }
}

/** Process id, start time in clock ticks and boot id, where the system tells. */
function processIdentity(pid: number): string {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const bootId = readFileSync(
      '/proc/sys/kernel/random/boot_id',
      'utf8',
    ).trim();
    // The command may hold spaces; the fields after it are counted from 3.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${pid} ${fields[22 - 3]} ${bootId}`;
  } catch {
    return `${pid}`;
  }
}
