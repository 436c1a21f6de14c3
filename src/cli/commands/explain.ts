import {readFileSync} from 'node:fs';
import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {logStory} from '../log_story.js';
import {UsageError} from '../usage_error.js';

/** `pimentoyoke explain` */
export function explainCommand(ctx: CommandContext): Command {
  const command = ctx
    .command('explain', 'Shows what the logs of several nodes say of a job.')
    .argument('<id>', 'id of the job')
    .argument('<files...>', 'log files, one or more');
  return ctx.run<{readonly json?: boolean}>(command, (opts, args) => {
    const [id, ...files] = args;
    const story = logStory(id!, files.map(readLog));
    for (const line of story) {
      const {time, node, message, fields} = line;
      const rest = Object.entries(fields).map(([k, v]) => `${k}=${String(v)}`);
      const text = [time, node, message, ...rest].join(' ');
      ctx.io.out(`${opts.json ? JSON.stringify(line) : text}\n`);
    }
    if (story.length > 0) return Promise.resolve(ExitCode.success);
    ctx.io.err(`no line about ${id!}\n`);
    return Promise.resolve(ExitCode.jobFailed);
  });
}

function readLog(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new UsageError(`${file}: ${String(err)}`);
  }
}
