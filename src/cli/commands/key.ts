import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

/** `pimentoyoke key new` */
export function keyCommand(ctx: CommandContext): Command {
  const create = ctx.callerCommand('new', 'Creates an idempotency key.');
  ctx.run(create, async opts => {
    const reply = await ctx.entry(opts).call('POST', '/v1/keys');
    if (reply.isErr) {
      return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
    }
    if (reply.value.status >= 400) return ctx.reportRefusal(opts, reply.value);
    ctx.print(opts, reply.value.body, `${reply.value.body['key']}\n`);
    return ExitCode.success;
  });
  return ctx.group('key', 'Creates idempotency keys.', [create]);
}
