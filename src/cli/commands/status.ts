import type {Command} from 'commander';
import {adminView} from '../admin_view.js';
import type {CommandContext} from '../command_context.js';

/** `pimentoyoke status` */
export function statusCommand(ctx: CommandContext): Command {
  const command = ctx.adminCommand('status', 'Shows the state of a daemon.');
  return adminView(ctx, command, '/v1/status', body =>
    Object.entries(body)
      .map(([key, value]) => `${key.padEnd(16)}${value ?? '-'}\n`)
      .join(''),
  );
}
