import type {Command} from 'commander';
import type {CommandContext} from '../command_context.js';
import {ConfigEntries} from '../config_entries.js';
import {parseNumber} from '../parse_number.js';

interface SetOptions {
  readonly targetMs?: number;
  readonly percentile?: number;
  readonly repeatable?: boolean;
  readonly memoryMb?: number;
  readonly accelerators?: number;
}

/** `pimentoyoke class set|get|list|delete` */
export function classCommand(ctx: CommandContext): Command {
  const entries = new ConfigEntries(ctx, {
    noun: 'class',
    section: 'classes',
    columns: [
      'name',
      'target_ms',
      'percentile',
      'repeatable',
      'memory_mb',
      'accelerators',
    ],
  });
  const set = entries
    .changeCommand('set', 'Creates a class or updates the given values.')
    .option('--target-ms <ms>', 'response-time target, in ms', parseNumber(1))
    .option(
      '--percentile <p>',
      'percentage of jobs that must meet the target',
      parseNumber(0),
    )
    .option('--repeatable', 'allow another attempt of a task that may have run')
    .option(
      '--no-repeatable',
      'forbid another attempt of a task that may have run',
    )
    .option('--memory-mb <mb>', 'memory per task, in MB', parseNumber(0))
    .option('--accelerators <n>', 'accelerators per task', parseNumber(0));
  ctx.run<SetOptions>(set, (opts, [name]) =>
    entries.change(opts, name!, 'PUT', entry => ({
      ...entry,
      ...definedEntry('target_ms', opts.targetMs),
      ...definedEntry('percentile', opts.percentile),
      ...definedEntry('repeatable', opts.repeatable),
      ...definedEntry('memory_mb', opts.memoryMb),
      ...definedEntry('accelerators', opts.accelerators),
    })),
  );
  return ctx.group('class', 'Manages job classes.', [
    set,
    entries.getCommand(),
    entries.listCommand(),
    entries.deleteCommand(),
  ]);
}

function definedEntry(key: string, value: unknown): object {
  return value === undefined ? {} : {[key]: value};
}
