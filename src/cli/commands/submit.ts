import type {Command} from 'commander';
import type {CliIo} from '../cli_io.js';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {JobFollower} from '../job_follower.js';
import {jobResult} from '../job_result.js';
import {parseNumber} from '../parse_number.js';
import {readTasks} from '../read_tasks.js';

const MS_PER_S = 1_000;
const PROGRESS_STEP_MS = 500;
const QUIET_STEP_MS = 30_000;

interface SubmitOptions {
  readonly json?: boolean;
  readonly class?: string;
  readonly tenant?: string;
  readonly task?: string[];
  readonly key?: string;
  readonly repeat: boolean;
  readonly wait: boolean;
  readonly cancelOnDisconnect?: boolean;
  readonly timeout: number;
}

/** `pimentoyoke submit` */
export function submitCommand(ctx: CommandContext): Command {
  const command = ctx
    .entryCommand('submit', 'Submits a job and waits for its answer.')
    .argument('[file]', 'JSON: an array of tasks or a whole body; - is stdin')
    .option('--class <name>', 'class of the job')
    .option('--tenant <name>', 'tenant of the job')
    .option('--task <json...>', 'payload of one task')
    .option('--key <key>', 'idempotency key (default: a new one)')
    .option('--no-repeat', 'forbid a second attempt of any task')
    .option('--no-wait', 'return when the job is accepted')
    .option('--cancel-on-disconnect', 'cancel when this command is cut off')
    .option('--timeout <s>', 'longest wait', parseNumber(0), 600);
  return ctx.run<SubmitOptions>(command, async (opts, [file]) => {
    const client = ctx.entry(opts);
    const body = {...(await readBody(ctx, opts, file)), ...overrides(opts)};
    let key = opts.key;
    if (key === undefined) {
      const minted = await client.call('POST', '/v1/keys');
      if (minted.isErr) {
        return ctx.lost(minted.error.detail, ExitCode.cannotConnect);
      }
      if (minted.value.status >= 400) return ctx.refused(opts, minted.value);
      key = String(minted.value.body['key']);
    }
    if (ctx.io.isTerminal) ctx.io.err(`job ${key}\n`);
    const follower = new JobFollower({
      client,
      key,
      body,
      timeoutMs: opts.timeout * MS_PER_S,
      stepMs: !opts.wait
        ? 0
        : ctx.io.isTerminal
          ? PROGRESS_STEP_MS
          : QUIET_STEP_MS,
      once: !opts.wait,
      onProgress: (done, total) => progress(ctx.io, done, total),
      onRetry: detail => ctx.io.err(`${detail}; trying again\n`),
    });
    const reply = await follower.follow();
    if (reply.isOk) return jobResult(ctx, opts, reply.value);
    const {isSent, detail} = reply.error;
    const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
    ctx.io.err(`fetch the answer later with: pimentoyoke fetch ${key}\n`);
    return ctx.lost(detail, code);
  });
}

async function readBody(
  ctx: CommandContext,
  {task}: SubmitOptions,
  file: string | undefined,
): Promise<Record<string, unknown>> {
  if (task) {
    const tasks = task.map(text => readTasks(`[${text}]`, '--task')['tasks']);
    return {tasks: tasks.flat().map(payload => ({payload}))};
  }
  if (file !== undefined && file !== '-') {
    return readTasks(ctx.readText(file), file);
  }
  const chunks: string[] = [];
  for await (const chunk of ctx.io.stdin) chunks.push(chunk.toString());
  return readTasks(chunks.join(''), 'stdin');
}

function overrides(opts: SubmitOptions): Record<string, unknown> {
  return {
    ...(opts.class === undefined ? {} : {class: opts.class}),
    ...(opts.tenant === undefined ? {} : {tenant: opts.tenant}),
    ...(opts.repeat ? {} : {repeatable: false}),
    ...(opts.cancelOnDisconnect ? {cancel_on_disconnect: true} : {}),
  };
}

function progress(io: CliIo, done: number, total: number): void {
  if (!io.isTerminal) return;
  io.err(`\r${done} of ${total} tasks done${done === total ? '\n' : ''}`);
}
