import type {Command} from 'commander';
import {adminView} from '../admin_view.js';
import type {CommandContext} from '../command_context.js';
import {formatTable} from '../format_table.js';

const COLUMNS = [
  'measure',
  'by',
  'name',
  'count',
  'mean_ms',
  'p50_ms',
  'p90_ms',
  'p99_ms',
  'max_ms',
];

/** `pimentoyoke histograms` */
export function histogramsCommand(ctx: CommandContext): Command {
  const command = ctx.adminCommand(
    'histograms',
    'Shows the response and queue times measured by a dispatcher.',
  );
  return adminView(ctx, command, '/v1/histograms', body =>
    formatTable(COLUMNS, body['histograms'] as Record<string, unknown>[]),
  );
}
