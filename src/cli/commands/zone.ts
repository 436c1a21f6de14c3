import type {Command} from 'commander';
import {adminView} from '../admin_view.js';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';

const PATH = '/v1/zones';

/** `pimentoyoke zone evacuate|restore|list` */
export function zoneCommand(ctx: CommandContext): Command {
  const list = ctx.adminCommand('list', 'Lists the zones.');
  adminView(ctx, list, PATH, body => {
    const zones = body['zones'] as Record<string, unknown>[];
    const table = formatTable(['name', 'evacuated'], zones);
    return `version ${body['version']}\n${table}`;
  });
  return ctx.group('zone', 'Evacuates zones and restores them.', [
    orderCommand(
      ctx,
      'evacuate',
      'Starts nothing more in a zone; its running tasks finish.',
      true,
    ),
    orderCommand(ctx, 'restore', 'Ends the evacuation of a zone.', false),
    list,
  ]);
}

function orderCommand(
  ctx: CommandContext,
  name: string,
  description: string,
  evacuated: boolean,
): Command {
  const command = ctx.adminCommand(name, description).argument('<zone>');
  return ctx.run<{json?: boolean}>(command, async (opts, [zone]) => {
    const path = `${PATH}/${encodeURIComponent(zone!)}`;
    const reply = await ctx.admin(opts).call('PUT', path, {body: {evacuated}});
    if (reply.isErr) {
      const {isSent, detail} = reply.error;
      const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
      return ctx.reportNoResponse(detail, code);
    }
    if (reply.value.status >= 400) return ctx.reportRefusal(opts, reply.value);
    const {body} = reply.value;
    ctx.print(opts, body, `version ${body['version']}\n`);
    return ExitCode.success;
  });
}
