import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {printJobResult} from '../print_job_result.js';

/** `pimentoyoke cancel` */
export function cancelCommand(ctx: CommandContext): Command {
  const command = ctx
    .callerCommand('cancel', 'Cancels a job. Has no effect on a finished job.')
    .argument('<key>', 'idempotency key of the job');
  return ctx.run(command, async (opts, [key]) => {
    const path = `/v1/jobs/${encodeURIComponent(key!)}`;
    const reply = await ctx.entry(opts).call('DELETE', path);
    if (reply.isErr) {
      const {isSent, detail} = reply.error;
      const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
      return ctx.reportNoResponse(detail, code);
    }
    const code = printJobResult(ctx, opts, reply.value);
    const {status} = reply.value.body;
    return status === 'cancelled' ? ExitCode.success : code;
  });
}
