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
    .changing('set', 'Creates a tenant or changes the values given.')
    .option('--quota-slots <n>', 'most slots in a zone', parseNumber(1))
    .option('--no-quota-slots', 'remove the quota');
  ctx.run<SetOptions>(set, (opts, [name]) =>
    entries.change(opts, name!, 'PUT', ({quota_slots: old, ...entry}) => {
      const quota =
        opts.quotaSlots === false ? undefined : (opts.quotaSlots ?? old);
      return quota === undefined ? entry : {...entry, quota_slots: quota};
    }),
  );
  return ctx.group('tenant', 'Tenants and their quotas.', [
    set,
    entries.get(),
    entries.list(),
    entries.remove(),
  ]);
}
