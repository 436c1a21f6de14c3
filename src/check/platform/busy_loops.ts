import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';

/** Processes that take processor time from all others. */
export class BusyLoops {
  private readonly children: ChildProcess[] = [];

  start(count: number): void {
    for (let n = 0; n < count; n += 1) {
      const args = ['-e', 'for (;;);'];
      this.children.push(spawn(process.execPath, args, {stdio: 'ignore'}));
    }
  }

  stop(): void {
    for (const child of this.children.splice(0)) child.kill('SIGKILL');
  }
}
