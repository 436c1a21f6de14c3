import type {JobLogLine} from './job_log_line.js';
import type {TaskRun} from './task_run.js';

type Fields = JobLogLine['fields'];

/** Runs that one line of a dispatcher lists. */
interface ListedRun {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly sent_ms_ago: number;
}

/** Returns the runs that the lines of one job name, in order of their start. */
export function collectTaskRuns(lines: readonly JobLogLine[]): TaskRun[] {
  const runs = new Map<string, TaskRun>();
  const find = (task: string, run: number, from: number): TaskRun => {
    const key = `${task} ${run}`;
    const found = runs.get(key) ?? {
      task,
      run,
      worker: undefined,
      nodes: new Set(),
      token: undefined,
      from,
      activeUntil: from,
      how: undefined,
    };
    found.from = Math.min(found.from, from);
    runs.set(key, found);
    return found;
  };
  for (const line of lines) addRunsOf(line, find);
  return [...runs.values()].sort((a, b) => a.from - b.from);
}

function addRunsOf(
  {time, node, message, fields}: JobLogLine,
  find: (task: string, run: number, from: number) => TaskRun,
): void {
  const at = Date.parse(time);
  for (const listed of listedRunsOf(fields)) {
    const run = find(listed.task, listed.run, at - listed.sent_ms_ago);
    run.worker = listed.worker;
    run.token ??= numberOf(fields, 'token');
    run.nodes.add(node);
    run.activeUntil = Math.max(run.activeUntil, at);
  }
  const {task} = fields;
  const number = numberOf(fields, 'run');
  if (typeof task !== 'string' || number === undefined) return;
  const isAdopted = fields['is_adopted'] === true;
  const isEnd = message === 'run_ended' || message === 'start_refused';
  const ranMs = isEnd && !isAdopted ? (numberOf(fields, 'after_ms') ?? 0) : 0;
  const run = find(task, number, at - ranMs);
  run.worker ??= stringOf(fields, 'worker');
  run.nodes.add(node);
  switch (message) {
    case 'run_restarted':
      run.token = numberOf(fields, 'token');
      addEarlierRun(fields, find, {at, task, node});
      return;
    case 'run_ended':
      run.how = describeEnd(fields);
      // The worker has not reported the end of a lost run.
      if (fields['how'] !== 'lost') run.activeUntil = at;
      return;
    case 'start_refused':
      run.how = `not_started (${String(fields['reason'])})`;
      return;
    case 'run_adopted':
    case 'run_unclaimed':
    case 'run_resurfaced':
      run.activeUntil = Math.max(run.activeUntil, at);
      return;
  }
}

/** Adds the earlier run that a `run_restarted` line names. */
function addEarlierRun(
  fields: Fields,
  find: (task: string, run: number, from: number) => TaskRun,
  {at, task, node}: {at: number; task: string; node: string},
): void {
  const number = numberOf(fields, 'earlier_run');
  if (number === undefined) return;
  const sentMsAgo = numberOf(fields, 'earlier_sent_ms_ago') ?? 0;
  const run = find(task, number, at - sentMsAgo);
  run.nodes.add(node);
  run.worker ??= stringOf(fields, 'earlier_worker');
  run.how ??= String(fields['earlier_how']);
}

function describeEnd(fields: Fields): string {
  const how = String(fields['how']);
  const cause = stringOf(fields, 'cause');
  return cause === undefined ? how : `${how} (${cause})`;
}

function listedRunsOf({runs}: Fields): readonly ListedRun[] {
  return Array.isArray(runs) ? (runs as ListedRun[]) : [];
}

function numberOf(fields: Fields, name: string): number | undefined {
  const value = fields[name];
  return typeof value === 'number' ? value : undefined;
}

function stringOf(fields: Fields, name: string): string | undefined {
  const value = fields[name];
  return typeof value === 'string' ? value : undefined;
}
