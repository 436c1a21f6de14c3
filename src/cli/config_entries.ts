import type {Command} from 'commander';
import type {CommandContext} from './command_context.js';
import {ConfigChanger} from './config_changer.js';
import {ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';
import {parseNumber} from './parse_number.js';

interface ConfigEntriesOptions {
  /** Singular name of an entry, such as `class`. */
  readonly noun: string;
  readonly section: 'classes' | 'tenants';
  readonly columns: readonly string[];
}

/** Creates the commands that classes and tenants have in common. */
export class ConfigEntries {
  constructor(
    private readonly ctx: CommandContext,
    private readonly opts: ConfigEntriesOptions,
  ) {}

  listCommand(): Command {
    const {ctx} = this;
    const {noun, section, columns} = this.opts;
    const command = ctx.adminCommand('list', `Lists every ${noun}.`);
    return ctx.run<{json?: boolean}>(command, async opts => {
      const reply = await ctx.admin(opts).call('GET', `/v1/${section}`);
      if (reply.isErr) {
        return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
      }
      const {status, body} = reply.value;
      if (status >= 400) return ctx.reportRefusal(opts, reply.value);
      const rows = body[section] as Array<Record<string, unknown>>;
      const text = formatTable(columns, rows);
      ctx.print(opts, body, `version ${body['version']}\n${text}`);
      return ExitCode.success;
    });
  }

  getCommand(): Command {
    const {ctx} = this;
    const {noun, section} = this.opts;
    const command = ctx
      .adminCommand('get', `Shows a ${noun} and the configuration version.`)
      .argument('<name>');
    return ctx.run<{json?: boolean}>(command, async (opts, [name]) => {
      const path = `/v1/${section}/${encodeURIComponent(name!)}`;
      const reply = await ctx.admin(opts).call('GET', path);
      if (reply.isErr) {
        return ctx.reportNoResponse(reply.error.detail, ExitCode.cannotConnect);
      }
      const {status, body, version} = reply.value;
      if (status >= 400) return ctx.reportRefusal(opts, reply.value);
      const lines = Object.entries(body).map(
        ([key, value]) => `${key} = ${JSON.stringify(value)}\n`,
      );
      const text = `version ${version}\n${lines.join('')}`;
      ctx.print(opts, {version, ...body}, text);
      return ExitCode.success;
    });
  }

  deleteCommand(): Command {
    const {ctx} = this;
    const {noun} = this.opts;
    const command = this.changeCommand('delete', `Deletes a ${noun}.`);
    return ctx.run<{json?: boolean}>(command, (opts, [name]) =>
      this.change(opts, name!, 'DELETE'),
    );
  }

  /** Creates a command that changes one entry. */
  changeCommand(name: string, description: string): Command {
    return ConfigEntries.withChangeOptions(
      this.ctx.adminCommand(name, description).argument('<name>'),
    );
  }

  /** Adds the options that detect concurrent changes and allow safe retries. */
  static withChangeOptions(command: Command): Command {
    return command
      .option(
        '--expect <version>',
        'expected configuration version (default: the current version)',
        parseNumber(0),
      )
      .option(
        '--idempotency-key <key>',
        'idempotency key of the change (default: a new key)',
      );
  }

  /** Replaces an entry by the result of `replace`, or deletes it. */
  async change(
    opts: object,
    name: string,
    method: 'PUT' | 'DELETE',
    replace: (entry: Record<string, unknown>) => object = entry => entry,
  ): Promise<ExitCode> {
    const client = this.ctx.admin(opts);
    const res = await client.call('GET', `/v1/${this.opts.section}`);
    if (res.isErr) {
      return this.ctx.reportNoResponse(
        res.error.detail,
        ExitCode.cannotConnect,
      );
    }
    if (res.value.status >= 400) return this.ctx.reportRefusal(opts, res.value);
    const entries = res.value.body[this.opts.section] as Array<
      Record<string, unknown>
    >;
    const entry = entries.find(each => each['name'] === name) ?? {name};
    return new ConfigChanger(this.ctx, client, opts).send({
      method,
      path: `/v1/${this.opts.section}/${encodeURIComponent(name)}`,
      body: method === 'PUT' ? replace(entry) : undefined,
      version: res.value.version ?? 0,
    });
  }
}
