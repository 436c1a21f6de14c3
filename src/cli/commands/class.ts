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
    .changing('set', 'Creates a class or changes the values given.')
    .option('--target-ms <ms>', 'response-time target', parseNumber(1))
    .option('--percentile <p>', 'share of jobs in target', parseNumber(0))
    .option('--repeatable', 'a task may run again after an attempt that ran')
    .option('--no-repeatable', 'a task never runs again')
    .option('--memory-mb <mb>', 'memory of a task', parseNumber(0))
    .option('--accelerators <n>', 'accelerators of a task', parseNumber(0));
  ctx.run<SetOptions>(set, (opts, [name]) =>
    entries.change(opts, name!, 'PUT', entry => ({
      ...entry,
      ...given('target_ms', opts.targetMs),
      ...given('percentile', opts.percentile),
      ...given('repeatable', opts.repeatable),
      ...given('memory_mb', opts.memoryMb),
      ...given('accelerators', opts.accelerators),
    })),
  );
  return ctx.group('class', 'Classes of work.', [
    set,
    entries.get(),
    entries.list(),
    entries.remove(),
  ]);
}

function given(key: string, value: unknown): object {
  return value === undefined ? {} : {[key]: value};
}
