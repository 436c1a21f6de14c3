/** Records what was sent, answered and run, with times in ms since the start. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export class Events {
  constructor() {
    this.zero = performance.now();
    this.lines = [];
    this.runs = [];
  }

  get now() {
    return performance.now() - this.zero;
  }

  add(event, fields = {}) {
    this.lines.push(`${format(this.now)} ${event} ${JSON.stringify(fields)}`);
  }

  addRun(run) {
    this.runs.push(run);
    const {task, run: number, token, worker, usedAfter, capacity} = run;
    this.add('run_started', {
      ...{task, run: number, token, worker},
      used_cpu: usedAfter,
      capacity_cpu: capacity,
    });
  }

  endRun({task, run, worker, how}) {
    this.add('run_ended', {task, run, worker, how});
  }

  /** Pairs of runs of one task that were at work at the same time. */
  overlaps() {
    const byTask = new Map();
    for (const run of this.runs) {
      const runs = byTask.get(run.task) ?? [];
      runs.push(run);
      byTask.set(run.task, runs);
    }
    const found = [];
    for (const runs of byTask.values()) {
      for (const [at, a] of runs.entries()) {
        for (const b of runs.slice(at + 1)) {
          const from = Math.max(a.startedAt, b.startedAt);
          const to = Math.min(a.endedAt ?? Infinity, b.endedAt ?? Infinity);
          if (to - from > 0)
            found.push({a, b, from: from - this.zero, to: to - this.zero});
        }
      }
    }
    return found;
  }

  write(file) {
    writeFileSync(file, this.lines.join('\n') + '\n');
  }
}

function format(ms) {
  return (ms / 1_000).toFixed(3).padStart(8) + ' s';
}
