import {CommanderError} from 'commander';
import type {CliIo} from './cli_io.js';
import {CommandContext} from './command_context.js';
import {ackCommand} from './commands/ack.js';
import {cancelCommand} from './commands/cancel.js';
import {classCommand} from './commands/class.js';
import {configCommand} from './commands/config.js';
import {drainCommand} from './commands/drain.js';
import {explainCommand} from './commands/explain.js';
import {fetchCommand} from './commands/fetch.js';
import {histogramsCommand} from './commands/histograms.js';
import {keyCommand} from './commands/key.js';
import {statusCommand} from './commands/status.js';
import {submitCommand} from './commands/submit.js';
import {tenantCommand} from './commands/tenant.js';
import {upstreamsCommand} from './commands/upstreams.js';
import {votersCommand} from './commands/voters.js';
import {zoneCommand} from './commands/zone.js';
import {ExitCode} from './exit_code.js';
import {UsageError} from './usage_error.js';

const HELP = `
Exit codes: 0 success, 1 the job failed or was cancelled, 2 usage error,
3 refused and not run, 4 outcome unknown, 5 cannot connect.`;

/** Runs the command line `args`, without the program name. */
export async function runCli(
  args: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  const ctx = new CommandContext(io);
  const program = ctx
    .group(
      'pimentoyoke',
      'Submits jobs to pimentoyoke and manages its daemons.',
      [
        submitCommand(ctx),
        fetchCommand(ctx),
        cancelCommand(ctx),
        ackCommand(ctx),
        keyCommand(ctx),
        classCommand(ctx),
        tenantCommand(ctx),
        statusCommand(ctx),
        upstreamsCommand(ctx),
        histogramsCommand(ctx),
        drainCommand(ctx),
        votersCommand(ctx),
        zoneCommand(ctx),
        configCommand(ctx),
        explainCommand(ctx),
      ],
    )
    .addHelpText('after', HELP);
  try {
    await program.parseAsync([...args], {from: 'user'});
    return ctx.exitCode;
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err;
    // Commander throws after it has printed requested help.
    if (err.exitCode === 0) return ExitCode.success;
    if (err instanceof UsageError) io.err(`${err.message}\n`);
    return ExitCode.usage;
  }
}
