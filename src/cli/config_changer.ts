import {v4 as uuidv4} from 'uuid';
import type {ApiClient} from './api_client.js';
import type {CommandContext} from './command_context.js';
import {ExitCode} from './exit_code.js';

const ATTEMPTS = 5;
const RETRY_PAUSE_MS = 500;

interface ChangeOptions {
  readonly json?: boolean;
  /** Version that the operator has seen. Default: the current one. */
  readonly expect?: number;
  readonly idempotencyKey?: string;
}

interface ChangeRequest {
  readonly method: 'PUT' | 'DELETE' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** Version at which `body` was made. */
  readonly version: number;
}

/**
 * Sends one change of the configuration. A change whose response is lost is
 * sent again under its key and so gets the outcome of the first one; a conflict
 * is reported and never retried.
 */
export class ConfigChanger {
  constructor(
    private readonly ctx: CommandContext,
    private readonly client: ApiClient,
    private readonly opts: ChangeOptions,
  ) {}

  async send({method, path, body, version}: ChangeRequest): Promise<ExitCode> {
    const {ctx, opts} = this;
    const key = opts.idempotencyKey ?? uuidv4();
    const expected = opts.expect ?? version;
    const headers = {
      'if-match': `"${expected}"`,
      'idempotency-key': `"${key}"`,
    };
    let isSent = false;
    let detail = '';
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
      const reply = await this.client.call(method, path, {body, headers});
      if (reply.isOk) {
        const {status} = reply.value;
        if (status < 400) {
          const made = reply.value.body['version'];
          ctx.print(opts, reply.value.body, `version ${made}\n`);
          return ExitCode.success;
        }
        const isUnknown = reply.value.body['outcome'] === 'outcome_unknown';
        if (!isUnknown || attempt === ATTEMPTS) {
          return ctx.refused(opts, reply.value);
        }
        isSent = true;
        detail = String(reply.value.body['detail']);
      } else {
        isSent ||= reply.error.isSent;
        detail = reply.error.detail;
        if (!isSent) break;
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
    }
    if (!isSent) return ctx.lost(detail, ExitCode.cannotConnect);
    ctx.io.err(
      'the change may have been made; to learn, repeat the command with ' +
        `--expect ${expected} --idempotency-key ${key}\n`,
    );
    return ctx.lost(detail, ExitCode.outcomeUnknown);
  }
}
