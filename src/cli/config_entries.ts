import type {Command} from 'commander';
import type {CommandContext} from './command_context.js';
import {ConfigChanger} from './config_changer.js';
import {ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';
import {parseNumber} from './parse_number.js';

interface ConfigEntriesOptions {
  /** Word for one entry, such as `class`. */
  readonly noun: string;
  readonly section: 'classes' | 'tenants';
  readonly columns: readonly string[];
}

/** The commands that classes and tenants have in common. */
export class ConfigEntries {
  constructor(
    private readonly ctx: CommandContext,
    private readonly opts: ConfigEntriesOptions,
  ) {}

  list(): Command {
    const {ctx} = this;
    const {noun, section, columns} = this.opts;
    const command = ctx.adminCommand('list', `Lists every ${noun}.`);
    return ctx.run<{json?: boolean}>(command, async opts => {
      const reply = await ctx.admin(opts).call('GET', `/v1/${section}`);
      if (reply.isErr) {
        return ctx.lost(reply.error.detail, ExitCode.cannotConnect);
      }
      const {status, body} = reply.value;
      if (status >= 400) return ctx.refused(opts, reply.value);
      const rows = body[section] as Array<Record<string, unknown>>;
      const text = formatTable(columns, rows);
      ctx.print(opts, body, `version ${body['version']}\n${text}`);
      return ExitCode.success;
    });
  }

  get(): Command {
    const {ctx} = this;
    const {noun, section} = this.opts;
    const command = ctx
      .adminCommand('get', `Shows a ${noun} and the configuration version.`)
      .argument('<name>');
    return ctx.run<{json?: boolean}>(command, async (opts, [name]) => {
      const path = `/v1/${section}/${encodeURIComponent(name!)}`;
      const reply = await ctx.admin(opts).call('GET', path);
      if (reply.isErr) {
        return ctx.lost(reply.error.detail, ExitCode.cannotConnect);
      }
      const {status, body, version} = reply.value;
      if (status >= 400) return ctx.refused(opts, reply.value);
      const lines = Object.entries(body).map(
        ([key, value]) => `${key} = ${JSON.stringify(value)}\n`,
      );
      const text = `version ${version}\n${lines.join('')}`;
      ctx.print(opts, {version, ...body}, text);
      return ExitCode.success;
    });
  }

  remove(): Command {
    const {ctx} = this;
    const {noun} = this.opts;
    const command = this.changing('delete', `Deletes a ${noun}.`);
    return ctx.run<{json?: boolean}>(command, (opts, [name]) =>
      this.change(opts, name!, 'DELETE'),
    );
  }

  /** A command that changes one entry. */
  changing(name: string, description: string): Command {
    return ConfigEntries.withChangeOptions(
      this.ctx.adminCommand(name, description).argument('<name>'),
    );
  }

  /** Adds the options that make a change safe to race and to repeat. */
  static withChangeOptions(command: Command): Command {
    return command
      .option(
        '--expect <version>',
        'version the change is made for (default: the current one)',
        parseNumber(0),
      )
      .option(
        '--idempotency-key <key>',
        'key under which the change is sent (default: a new one)',
      );
  }

  /** Puts the entry with some values replaced, or deletes it. */
  async change(
    opts: object,
    name: string,
    method: 'PUT' | 'DELETE',
    replace: (entry: Record<string, unknown>) => object = entry => entry,
  ): Promise<ExitCode> {
    const client = this.ctx.admin(opts);
    const list = await client.call('GET', `/v1/${this.opts.section}`);
    if (list.isErr) {
      return this.ctx.lost(list.error.detail, ExitCode.cannotConnect);
    }
    if (list.value.status >= 400) return this.ctx.refused(opts, list.value);
    const entries = list.value.body[this.opts.section] as Array<
      Record<string, unknown>
    >;
    const entry = entries.find(each => each['name'] === name) ?? {name};
    return new ConfigChanger(this.ctx, client, opts).send({
      method,
      path: `/v1/${this.opts.section}/${encodeURIComponent(name)}`,
      body: method === 'PUT' ? replace(entry) : undefined,
      version: list.value.version ?? 0,
    });
  }
}
