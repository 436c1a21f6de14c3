import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {ApiClient} from './api_client.js';
import type {ApiReply} from './api_reply.js';
import type {CliIo} from './cli_io.js';
import {ExitCode} from './exit_code.js';
import {UsageError} from './usage_error.js';

interface Options {
  readonly json?: boolean;
  readonly entry?: string;
  readonly admin?: string;
  readonly tokenFile?: string;
}

type Action<O> = (opts: O & Options, args: string[]) => Promise<ExitCode>;

/** Creates commands with shared options; holds their output and exit code. */
export class CommandContext {
  exitCode: ExitCode = ExitCode.success;

  constructor(readonly io: CliIo) {}

  /** Creates a command that sends no requests. */
  command(name: string, description: string): Command {
    return this.configure(new Command(name))
      .description(description)
      .option('--json', 'print JSON');
  }

  /** Creates a command with subcommands, such as `class`. */
  group(name: string, description: string, commands: Command[]): Command {
    const group = this.configure(new Command(name)).description(description);
    for (const command of commands) group.addCommand(command);
    return group;
  }

  /** Creates a command that uses the caller API. */
  callerCommand(name: string, description: string): Command {
    return this.command(name, description).option(
      '--entry <url>',
      'caller API of a daemon (PIMENTOYOKE_ENTRY)',
    );
  }

  /** Creates a command that uses the admin API. */
  adminCommand(name: string, description: string): Command {
    return this.command(name, description)
      .option('--admin <url>', 'admin API of a daemon (PIMENTOYOKE_ADMIN)')
      .option(
        '--token-file <file>',
        'file with the admin token (PIMENTOYOKE_TOKEN_FILE)',
      );
  }

  /** Sets the action of a command. Its result becomes the exit code. */
  run<O>(command: Command, action: Action<O>): Command {
    return command.action(async () => {
      const opts = command.opts<O & Options>();
      this.exitCode = await action(opts, command.args);
    });
  }

  entry({entry}: Options): ApiClient {
    const url = entry ?? this.io.env['PIMENTOYOKE_ENTRY'];
    return new ApiClient(this.origin(url, '--entry', 'PIMENTOYOKE_ENTRY'));
  }

  admin({admin, tokenFile}: Options): ApiClient {
    const {env} = this.io;
    const url = admin ?? env['PIMENTOYOKE_ADMIN'];
    const file = tokenFile ?? env['PIMENTOYOKE_TOKEN_FILE'];
    const origin = this.origin(url, '--admin', 'PIMENTOYOKE_ADMIN');
    if (!file) {
      throw new UsageError(
        'no admin token: pass --token-file or set PIMENTOYOKE_TOKEN_FILE',
      );
    }
    return new ApiClient(origin, this.readText(file).trim());
  }

  readText(file: string): string {
    try {
      return readFileSync(file, 'utf8');
    } catch (err) {
      throw new UsageError(`cannot read ${file}: ${(err as Error).message}`);
    }
  }

  /** Prints `value` as JSON with `--json`, otherwise `text`. */
  print({json}: Options, value: unknown, text: string): void {
    this.io.out(json ? `${JSON.stringify(value)}\n` : text);
  }

  /** Prints why a request was refused and maps its outcome to an exit code. */
  reportRefusal({json}: Options, {status, body}: ApiReply): ExitCode {
    if (json) this.io.out(`${JSON.stringify(body)}\n`);
    else {
      const {code, detail, outcome} = body;
      this.io.err(`refused (${status} ${code}): ${detail}; ${outcome}\n`);
      const {changes} = body;
      if (Array.isArray(changes)) this.io.err(formatDiff(changes));
    }
    switch (body['outcome']) {
      case 'not_run':
        return ExitCode.notRun;
      case 'failed':
        return ExitCode.jobFailed;
      default:
        return ExitCode.outcomeUnknown;
    }
  }

  /** Prints that no response was received, and returns `code`. */
  reportNoResponse(detail: string, code: ExitCode): ExitCode {
    this.io.err(`no response: ${detail}\n`);
    return code;
  }

  private origin(url: string | undefined, option: string, name: string) {
    if (!url) throw new UsageError(`no URL: pass ${option} or set ${name}`);
    if (!/^https?:\/\/[^/]+\/?$/.test(url) || !URL.canParse(url)) {
      throw new UsageError(
        `${option}: got "${url}"; expected http://HOST:PORT`,
      );
    }
    return url.replace(/\/$/, '');
  }

  private configure(command: Command): Command {
    const {out, err} = this.io;
    return command
      .exitOverride()
      .configureOutput({writeOut: out, writeErr: err});
  }
}

function formatDiff(changes: ReadonlyArray<Record<string, unknown>>): string {
  return changes
    .map(({path, before, after}) => {
      const format = (value: unknown) => JSON.stringify(value) ?? '(absent)';
      return `  ${path}\n    - ${format(before)}\n    + ${format(after)}\n`;
    })
    .join('');
}
