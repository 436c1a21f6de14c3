import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

/** `pimentoyoke ack` */
export function ackCommand(ctx: CommandContext): Command {
  const command = ctx
    .callerCommand('ack', 'Acknowledges the result of a job.')
    .argument('<key>', 'idempotency key of the job');
  return ctx.run(command, async (opts, [key]) => {
    const path = `/v1/jobs/${encodeURIComponent(key!)}/ack`;
    const reply = await ctx.entry(opts).call('POST', path);
    if (reply.isErr) {
      return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
    }
    if (reply.value.status >= 400) return ctx.reportRefusal(opts, reply.value);
    ctx.print(opts, reply.value.body, `${key} acknowledged\n`);
    return ExitCode.success;
  });
}
