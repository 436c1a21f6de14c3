import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {jobResult} from '../job_result.js';

/** `pimentoyoke cancel` */
export function cancelCommand(ctx: CommandContext): Command {
  const command = ctx
    .entryCommand('cancel', 'Cancels a job. A finished job stays as it is.')
    .argument('<key>', 'idempotency key of the job');
  return ctx.run(command, async (opts, [key]) => {
    const path = `/v1/jobs/${encodeURIComponent(key!)}`;
    const reply = await ctx.entry(opts).call('DELETE', path);
    if (reply.isErr) {
      const {isSent, detail} = reply.error;
      const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
      return ctx.lost(detail, code);
    }
    const code = jobResult(ctx, opts, reply.value);
    const {status} = reply.value.body;
    return status === 'cancelled' ? ExitCode.success : code;
  });
}
