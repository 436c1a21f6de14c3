import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printJobResult} from '../print_job_result.js';
import {parseNumber} from '../parse_number.js';

const MS_PER_S = 1_000;

interface FetchOptions {
  readonly json?: boolean;
  readonly wait: number;
}

/** `pimentoyoke fetch` */
export function fetchCommand(ctx: CommandContext): Command {
  const command = ctx
    .callerCommand(
      'fetch',
      'Fetches the result of a job, or its progress while it runs.',
    )
    .argument('<key>', 'idempotency key of the job')
    .option(
      '--wait <s>',
      'longest wait for the result, in s, up to 60',
      parseNumber(0),
      0,
    );
  return ctx.run<FetchOptions>(command, async (opts, [key]) => {
    const waitMs = Math.round(opts.wait * MS_PER_S);
    const path = `/v1/jobs/${encodeURIComponent(key!)}?wait_ms=${waitMs}`;
    const reply = await ctx.entry(opts).call('GET', path);
    if (reply.isOk) return printJobResult(ctx, opts, reply.value);
    return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
  });
}
