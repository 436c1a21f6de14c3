import type {Command} from 'commander';
import type {ApiReply} from './api_reply.js';
import type {CommandContext} from './command_context.js';
import {ExitCode} from './exit_code.js';

/** Makes `command` print the response to one GET request of the admin API. */
export function adminView(
  ctx: CommandContext,
  command: Command,
  path: string,
  format: (body: ApiReply['body']) => string,
): Command {
  return ctx.run<{json?: boolean}>(command, async opts => {
    const reply = await ctx.admin(opts).call('GET', path);
    if (reply.isErr) {
      return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
    }
    const {status, body} = reply.value;
    if (status >= 400) return ctx.reportRefusal(opts, reply.value);
    ctx.print(opts, body, format(body));
    return ExitCode.success;
  });
}
