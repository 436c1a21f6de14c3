import {readFileSync} from 'node:fs';
import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {jobLogLines} from '../job_log_lines.js';
import {UsageError} from '../usage_error.js';

/** `pimentoyoke explain` */
export function explainCommand(ctx: CommandContext): Command {
  const command = ctx
    .command(
      'explain',
      'Shows the log lines of a job from several nodes, in order of time.',
    )
    .argument('<id>', 'id of the job')
    .argument('<files...>', 'log files of the nodes');
  return ctx.run<{readonly json?: boolean}>(command, (opts, args) => {
    const [id, ...files] = args;
    const lines = jobLogLines(id!, files.map(readLog));
    for (const line of lines) {
      const {time, node, message, fields} = line;
      const pairs = Object.entries(fields).map(([k, v]) => `${k}=${String(v)}`);
      const text = [time, node, message, ...pairs].join(' ');
      ctx.io.out(`${opts.json ? JSON.stringify(line) : text}\n`);
    }
    if (lines.length > 0) return Promise.resolve(ExitCode.success);
    ctx.io.err(`no log line of job ${id!} found\n`);
    return Promise.resolve(ExitCode.jobFailed);
  });
}

function readLog(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(`cannot read ${file}: ${String(err)}`);
  }
}
