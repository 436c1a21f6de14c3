import type {ApiReply} from './api_reply.js';
import type {CommandContext} from './command_context.js';
import {ExitCode} from './exit_code.js';

/** Prints the result or progress of a job and returns the exit code. */
export function printJobResult(
  ctx: CommandContext,
  opts: {readonly json?: boolean},
  reply: ApiReply,
): ExitCode {
  if (reply.status >= 400) return ctx.reportRefusal(opts, reply);
  const {body} = reply;
  ctx.print(opts, body, format(body));
  if (body['status'] === 'cancelled') return ExitCode.jobFailed;
  if (body['status'] !== 'failed') return ExitCode.success;
  switch (body['outcome']) {
    case 'not_run':
      return ExitCode.notRun;
    case 'failed':
      return ExitCode.jobFailed;
    default:
      return ExitCode.outcomeUnknown;
  }
}

function format(body: ApiReply['body']): string {
  const {status, key, results, reason, outcome, started, done, total} = body;
  switch (status) {
    case 'complete':
      return `${key} complete\n${(results as unknown[])
        .map(result => `${JSON.stringify(result)}\n`)
        .join('')}`;
    case 'running':
      return `${key} running: ${done} of ${total} tasks done\n`;
    default:
      return `${key} ${status}: ${reason} (${outcome}, ${started} started)\n`;
  }
}
