import type {Command} from 'commander';
import type {CliIo} from '../cli_io.js';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {JobSubmitter} from '../job_submitter.js';
import {printJobResult} from '../print_job_result.js';
import {parseNumber} from '../parse_number.js';
import {parseSubmission} from '../parse_submission.js';

const MS_PER_S = 1_000;
/** Interval between progress updates on a terminal. */
const TERMINAL_LONG_POLL_MS = 500;
const LONG_POLL_MS = 30_000;

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
    .callerCommand('submit', 'Submits a job and waits for its result.')
    .argument(
      '[file]',
      'JSON file with an array of tasks or a request body; - for stdin',
    )
    .option('--class <name>', 'class of the job')
    .option('--tenant <name>', 'tenant of the job')
    .option('--task <json...>', 'payload of a task, as JSON')
    .option('--key <key>', 'idempotency key (default: a new key)')
    .option('--no-repeat', 'forbid another attempt of a task that may have run')
    .option('--no-wait', 'return as soon as the job is accepted')
    .option(
      '--cancel-on-disconnect',
      'cancel the job if this command disconnects',
    )
    .option(
      '--timeout <s>',
      'longest wait for the result, in s',
      parseNumber(0),
      600,
    );
  return ctx.run<SubmitOptions>(command, async (opts, [file]) => {
    const client = ctx.entry(opts);
    const body = {...(await readBody(ctx, opts, file)), ...overrides(opts)};
    let key = opts.key;
    if (key === undefined) {
      const res = await client.call('POST', '/v1/keys');
      if (res.isErr) {
        return ctx.reportNoResponse(res.error.detail, ExitCode.cannotConnect);
      }
      if (res.value.status >= 400) return ctx.reportRefusal(opts, res.value);
      key = String(res.value.body['key']);
    }
    if (ctx.io.isTerminal) ctx.io.err(`job ${key}\n`);
    const submitter = new JobSubmitter({
      client,
      key,
      body,
      timeoutMs: opts.timeout * MS_PER_S,
      longPollMs: !opts.wait
        ? 0
        : ctx.io.isTerminal
          ? TERMINAL_LONG_POLL_MS
          : LONG_POLL_MS,
      returnsFirstReply: !opts.wait,
      onProgress: (done, total) => showProgress(ctx.io, done, total),
      onRetry: detail => ctx.io.err(`${detail}; retrying\n`),
    });
    const reply = await submitter.submitAndWait();
    if (reply.isOk) return printJobResult(ctx, opts, reply.value);
    const {isSent, detail} = reply.error;
    const code = isSent ? ExitCode.outcomeUnknown : ExitCode.cannotConnect;
    ctx.io.err(`to fetch the result later, run: pimentoyoke fetch ${key}\n`);
    return ctx.reportNoResponse(detail, code);
  });
}

async function readBody(
  ctx: CommandContext,
  {task}: SubmitOptions,
  file: string | undefined,
): Promise<Record<string, unknown>> {
  if (task) {
    const tasks = task.map(
      text => parseSubmission(`[${text}]`, '--task')['tasks'],
    );
    return {tasks: tasks.flat().map(payload => ({payload}))};
  }
  if (file !== undefined && file !== '-') {
    return parseSubmission(ctx.readText(file), file);
  }
  const chunks: string[] = [];
  for await (const chunk of ctx.io.stdin) chunks.push(chunk.toString());
  return parseSubmission(chunks.join(''), 'stdin');
}

function overrides(opts: SubmitOptions): Record<string, unknown> {
  return {
    ...(opts.class === undefined ? {} : {class: opts.class}),
    ...(opts.tenant === undefined ? {} : {tenant: opts.tenant}),
    ...(opts.repeat ? {} : {repeatable: false}),
    ...(opts.cancelOnDisconnect ? {cancel_on_disconnect: true} : {}),
  };
}

function showProgress(io: CliIo, done: number, total: number): void {
  if (!io.isTerminal) return;
  io.err(`\r${done} of ${total} tasks done${done === total ? '\n' : ''}`);
}
