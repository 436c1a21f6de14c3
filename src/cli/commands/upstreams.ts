import type {Command} from 'commander';
import {adminView} from '../admin_view.js';
import type {CommandContext} from '../command_context.js';
import {formatTable} from '../format_table.js';

const COLUMNS = [
  'worker',
  'zone',
  'rack',
  'address',
  'slots',
  'slots_used',
  'memory_mb',
  'classes',
  'leaving',
  'lease_left_ms',
];

/** `pimentoyoke upstreams` */
export function upstreamsCommand(ctx: CommandContext): Command {
  const command = ctx.adminCommand(
    'upstreams',
    'Lists the workers registered in the zone of a daemon.',
  );
  return adminView(ctx, command, '/v1/upstreams', body =>
    formatTable(COLUMNS, body['upstreams'] as Record<string, unknown>[]),
  );
}
