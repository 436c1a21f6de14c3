import {readFileSync, unlinkSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {Result} from 'true-myth';

const FILE = 'lock';
/** Folders that are locked by this process. */
const lockedFolders = new Set<string>();

/**
 * Lock file that identifies the process that uses the folder. The process is
 * identified by its id, its start time and the boot id, so a lock of a dead
 * process is not attributed to a later process with the same id.
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
  // After a restart, this process can have the id of the killed process.
  if (pid === process.pid) return false;
  try {
    process.kill(pid, 0);
  } catch (err) {
    if ((err as NodeJS.ErrnoException).code === 'ESRCH') return false;
  }
  return !isZombie(pid) && processIdentity(pid) === holder;
}

/**
 * Returns whether the process is a zombie. A zombie still accepts signals, but
 * has no files open.
 */
function isZombie(pid: number): boolean {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    return stat.slice(stat.lastIndexOf(')') + 2).startsWith('Z');
  } catch {
    return false;
  }
}

/**
 * Returns the process id, start time in clock ticks and boot id, or only the
 * process id where `/proc` is not available.
 */
function processIdentity(pid: number): string {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const bootId = readFileSync(
      '/proc/sys/kernel/random/boot_id',
      'utf8',
    ).trim();
    // Field 2, the command in parentheses, may contain spaces; the part after
    // it starts with field 3. Field 22 is the start time.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${pid} ${fields[22 - 3]} ${bootId}`;
  } catch {
    return `${pid}`;
  }
}
