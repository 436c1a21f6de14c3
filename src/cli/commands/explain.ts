import {readFileSync} from 'node:fs';
import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {collectTaskRuns} from '../collect_task_runs.js';
import {describeTaskRuns} from '../describe_task_runs.js';
import {jobLogLines} from '../job_log_lines.js';
import {UsageError} from '../usage_error.js';

/** `pimentoyoke explain` */
export function explainCommand(ctx: CommandContext): Command {
  const command = ctx
    .command(
      'explain',
      'Shows the log lines of a job or task from several nodes, in order of ' +
        'time, and its runs as far as they are logged.',
    )
    .argument('<id>', 'id of the job, or name of a task')
    .argument('<files...>', 'log files of the nodes');
  return ctx.run<{readonly json?: boolean}>(command, (opts, args) => {
    const [id, ...files] = args;
    const {lines, runs} = explain(id!, files.map(readLog));
    for (const line of lines) {
      const {time, node, message, fields} = line;
      const pairs = Object.entries(fields).map(([k, v]) => `${k}=${toText(v)}`);
      const text = [time, node, message, ...pairs].join(' ');
      ctx.io.out(`${opts.json ? JSON.stringify(line) : text}\n`);
    }
    if (opts.json) {
      for (const {nodes, ...run} of runs) {
        ctx.io.out(`${JSON.stringify({...run, nodes: [...nodes]})}\n`);
      }
    } else for (const text of describeTaskRuns(runs)) ctx.io.out(`${text}\n`);
    if (lines.length > 0) return Promise.resolve(ExitCode.success);
    ctx.io.err(`no log line of job ${id!} found\n`);
    return Promise.resolve(ExitCode.jobFailed);
  });
}

/** Finds the lines and runs of a job or, if there is no such job, of a task. */
function explain(id: string, texts: readonly string[]) {
  const lines = jobLogLines(id, texts);
  const dot = id.indexOf('.');
  if (lines.length > 0 || dot < 0) return {lines, runs: collectTaskRuns(lines)};
  const ofTask = jobLogLines(id.slice(0, dot), texts).filter(
    ({fields: {task}}) => task === undefined || task === id,
  );
  const runs = collectTaskRuns(ofTask).filter(({task}) => task === id);
  return {lines: ofTask, runs};
}

function toText(value: unknown): string {
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function readLog(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(`cannot read ${file}: ${String(err)}`);
  }
}
