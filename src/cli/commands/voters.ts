import type {Command} from 'commander';
import {adminView} from '../admin_view.js';
import type {CommandContext} from '../command_context.js';
import {ConfigChanger} from '../config_changer.js';
import {ConfigEntries} from '../config_entries.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';

const PATH = '/v1/voters';

/** `pimentoyoke voters list|add|remove|replace` */
export function votersCommand(ctx: CommandContext): Command {
  const list = ctx.adminCommand('list', 'Lists the voters and learners.');
  adminView(ctx, list, PATH, body => {
    const voters = body['voters'] as Record<string, unknown>[];
    const {version, leader} = body;
    const header = `version ${version}, leader ${leader ?? '-'}\n`;
    return header + formatTable(['node', 'role'], voters);
  });
  const add = changeCommand(
    ctx,
    'add',
    'Promotes a node with a data directory to a voter.',
  );
  const remove = changeCommand(ctx, 'remove', 'Removes a voter.');
  const replace = changeCommand(ctx, 'replace', 'Replaces a voter.').argument(
    '<replacement>',
    'node that becomes a voter instead',
  );
  return ctx.group('voters', 'Manages the voters of the configuration log.', [
    list,
    add,
    remove,
    replace,
  ]);
}

function changeCommand(
  ctx: CommandContext,
  action: string,
  description: string,
): Command {
  const command = ConfigEntries.withChangeOptions(
    ctx.adminCommand(action, description).argument('<node>'),
  );
  return ctx.run<{json?: boolean}>(command, async (opts, args) => {
    const [node, replacement] = args;
    const client = ctx.admin(opts);
    const reply = await client.call('GET', PATH);
    if (reply.isErr) {
      return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
    }
    if (reply.value.status >= 400) return ctx.reportRefusal(opts, reply.value);
    return new ConfigChanger(ctx, client, opts).send({
      method: 'POST',
      path: PATH,
      body: {action, node, replacement},
      version: reply.value.version ?? 0,
    });
  });
}
