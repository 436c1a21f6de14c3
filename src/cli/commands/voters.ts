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
  const list = ctx.adminCommand('list', 'Lists voters and learners.');
  adminView(ctx, list, PATH, body => {
    const voters = body['voters'] as Record<string, unknown>[];
    const {version, leader} = body;
    const head = `version ${version}, leader ${leader ?? '-'}\n`;
    return head + formatTable(['node', 'role'], voters);
  });
  const add = changing(ctx, 'add', 'Makes a node with a disk a voter.');
  const remove = changing(ctx, 'remove', 'Removes a voter.');
  const replace = changing(ctx, 'replace', 'Replaces a voter.').argument(
    '<replacement>',
    'node that takes its place',
  );
  return ctx.group('voters', 'Voters of the configuration log.', [
    list,
    add,
    remove,
    replace,
  ]);
}

function changing(
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
      return ctx.lost(reply.error.detail, ExitCode.cannotConnect);
    }
    if (reply.value.status >= 400) return ctx.refused(opts, reply.value);
    return new ConfigChanger(ctx, client, opts).send({
      method: 'POST',
      path: PATH,
      body: {action, node, replacement},
      version: reply.value.version ?? 0,
    });
  });
}
