import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {runCli} from '../../src/cli/run_cli.js';
import {AdminServerBench} from './admin_server_bench.js';
import {CallerServerBench} from './caller_server_bench.js';

interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the command-line tool and its servers in this process. */
export class CliBench {
  readonly dir = mkdtempSync(join(tmpdir(), 'cli-'));
  readonly tokenFile = join(this.dir, 'token');
  isTerminal = false;
  stdin = '';

  constructor(
    readonly caller: CallerServerBench,
    readonly admin: AdminServerBench,
  ) {
    writeFileSync(this.tokenFile, `${AdminServerBench.TOKEN}\n`);
  }

  static async start(): Promise<CliBench> {
    return new CliBench(
      await CallerServerBench.start(),
      await AdminServerBench.start(),
    );
  }

  async run(...args: string[]): Promise<CliResult> {
    let out = '';
    let err = '';
    const {stdin} = this;
    const code = await runCli(args, {
      env: {
        PIMENTOYOKE_ENTRY: this.caller.url,
        PIMENTOYOKE_ADMIN: this.admin.url,
        PIMENTOYOKE_TOKEN_FILE: this.tokenFile,
      },
      isTerminal: this.isTerminal,
      stdin: (async function* () {
        yield stdin;
      })(),
      out: text => {
        out += text;
      },
      err: text => {
        err += text;
      },
    });
    return {code, out, err};
  }

  async stop(): Promise<void> {
    await Promise.all([this.caller.server.drain(), this.admin.stop()]);
    rmSync(this.dir, {recursive: true});
  }
}
