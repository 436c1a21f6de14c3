import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ConfigEntries} from '../config_entries.js';
import {parseNumber} from '../parse_number.js';

interface SetOptions {
  /** False removes the quota. */
  readonly quotaSlots?: number | false;
}

/** `pimentoyoke tenant set|get|list|delete` */
export function tenantCommand(ctx: CommandContext): Command {
  const entries = new ConfigEntries(ctx, {
    noun: 'tenant',
    section: 'tenants',
    columns: ['name', 'quota_slots'],
  });
  const set = entries
    .changeCommand('set', 'Creates a tenant or updates the given values.')
    .option(
      '--quota-slots <n>',
      'highest number of slots per zone',
      parseNumber(1),
    )
    .option('--no-quota-slots', 'remove the quota');
  ctx.run<SetOptions>(set, (opts, [name]) =>
    entries.change(opts, name!, 'PUT', ({quota_slots: current, ...entry}) => {
      const quota =
        opts.quotaSlots === false ? undefined : (opts.quotaSlots ?? current);
      return quota === undefined ? entry : {...entry, quota_slots: quota};
    }),
  );
  return ctx.group('tenant', 'Manages tenants and their quotas.', [
    set,
    entries.getCommand(),
    entries.listCommand(),
    entries.deleteCommand(),
  ]);
}
