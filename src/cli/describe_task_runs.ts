import type {TaskRun} from './task_run.js';

/** Returns one line for each run of each task, and one for each overlap. */
export function describeTaskRuns(runs: readonly TaskRun[]): string[] {
  const tasks = new Set(runs.map(r => r.task));
  return [...tasks].flatMap(task => {
    const own = runs.filter(r => r.task === task);
    return [`runs of ${task}:`, ...own.map(describeRun), ...overlapsOf(own)];
  });
}

function describeRun(run: TaskRun): string {
  const {from, activeUntil, how = 'end not logged', token} = run;
  const tokenText = token === undefined ? '' : ` under token ${token}`;
  const nodes = [...run.nodes].join(', ');
  return (
    `  ${labelOf(run)}${tokenText}, named by ${nodes}: ` +
    `from ${toTime(from)}, active until ${toTime(activeUntil)}, ${how}`
  );
}

function overlapsOf(runs: readonly TaskRun[]): string[] {
  return runs.flatMap((a, n) =>
    runs.slice(n + 1).flatMap(b => {
      const overlapMs = Math.min(a.activeUntil, b.activeUntil) - b.from;
      if (overlapMs <= 0) return [];
      return [
        `  runs ${labelOf(a)} and ${labelOf(b)} overlap by ${overlapMs} ms ` +
          'as far as the logs tell',
      ];
    }),
  );
}

function labelOf({run, worker}: TaskRun): string {
  return `${run} on ${worker ?? 'an unknown worker'}`;
}

function toTime(ms: number): string {
  return new Date(ms).toISOString();
}
