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

/** Makes commands and holds what they share: options, output, exit code. */
export class CommandContext {
  exitCode: ExitCode = ExitCode.success;

  constructor(readonly io: CliIo) {}

  /** A command that calls no daemon. */
  command(name: string, description: string): Command {
    return this.adopt(new Command(name))
      .description(description)
      .option('--json', 'print JSON for programs');
  }

  /** A group of commands, such as `class`. */
  group(name: string, description: string, commands: Command[]): Command {
    const group = this.adopt(new Command(name)).description(description);
    for (const command of commands) group.addCommand(command);
    return group;
  }

  /** A command that calls the caller API. */
  entryCommand(name: string, description: string): Command {
    return this.command(name, description).option(
      '--entry <url>',
      'address of a daemon for callers (PIMENTOYOKE_ENTRY)',
    );
  }

  /** A command that calls the admin API. */
  adminCommand(name: string, description: string): Command {
    return this.command(name, description)
      .option('--admin <url>', 'admin address of a daemon (PIMENTOYOKE_ADMIN)')
      .option(
        '--token-file <file>',
        'file with the admin token (PIMENTOYOKE_TOKEN_FILE)',
      );
  }

  /** Sets what the command does; its result becomes the exit code. */
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
      throw new UsageError('give --token-file or set PIMENTOYOKE_TOKEN_FILE');
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

  /** Prints a result: JSON with `--json`, else text for people. */
  print({json}: Options, value: unknown, text: string): void {
    this.io.out(json ? `${JSON.stringify(value)}\n` : text);
  }

  /** Prints why a request was refused; the outcome decides the exit code. */
  refused({json}: Options, {status, body}: ApiReply): ExitCode {
    if (json) this.io.out(`${JSON.stringify(body)}\n`);
    else {
      const {code, detail, outcome} = body;
      this.io.err(`refused (${status} ${code}): ${detail}; ${outcome}\n`);
      const {changes} = body;
      if (Array.isArray(changes)) this.io.err(diffText(changes));
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

  /** Prints that there was no response. */
  lost(detail: string, code: ExitCode): ExitCode {
    this.io.err(`no response from ${detail}\n`);
    return code;
  }

  private origin(url: string | undefined, option: string, name: string) {
    if (!url) throw new UsageError(`give ${option} or set ${name}`);
    if (!/^https?:\/\/[^/]+\/?$/.test(url) || !URL.canParse(url)) {
      throw new UsageError(
        `${option}: "${url}" must have the form http://HOST:PORT`,
      );
    }
    return url.replace(/\/$/, '');
  }

  private adopt(command: Command): Command {
    const {out, err} = this.io;
    return command
      .exitOverride()
      .configureOutput({writeOut: out, writeErr: err});
  }
}

function diffText(changes: ReadonlyArray<Record<string, unknown>>): string {
  return changes
    .map(({path, before, after}) => {
      const show = (value: unknown) => JSON.stringify(value) ?? '(absent)';
      return `  ${path}\n    - ${show(before)}\n    + ${show(after)}\n`;
    })
    .join('');
}
