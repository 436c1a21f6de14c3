import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

/** `pimentoyoke drain` */
export function drainCommand(ctx: CommandContext): Command {
  const command = ctx.adminCommand(
    'drain',
    'Makes a daemon answer its open requests and exit.',
  );
  return ctx.run<{json?: boolean}>(command, async opts => {
    const reply = await ctx.admin(opts).call('POST', '/v1/drain');
    if (reply.isErr) {
      const {isSent, detail} = reply.error;
      const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
      return ctx.reportNoResponse(detail, code);
    }
    if (reply.value.status >= 400) return ctx.reportRefusal(opts, reply.value);
    ctx.print(opts, reply.value.body, 'draining\n');
    return ExitCode.success;
  });
}
