import type {Command} from 'commander';
import {loadSettings} from '../../daemon/settings/load_settings.js';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';

/** `pimentoyoke config check` */
export function configCommand(ctx: CommandContext): Command {
  const check = ctx
    .command('check', 'Validates the settings file of a daemon.')
    .argument('<file>', 'settings file (TOML)');
  ctx.run<{json?: boolean}>(check, async (opts, [file]) => {
    const settings = loadSettings(file!);
    const errors = settings.isErr ? settings.error : [];
    const isValid = errors.length === 0;
    const text = isValid ? `${file}: valid\n` : `${errors.join('\n')}\n`;
    ctx.print(opts, {valid: isValid, errors}, text);
    return isValid ? ExitCode.success : ExitCode.usage;
  });
  return ctx.group('config', 'Checks settings files.', [check]);
}
