import {v4 as uuidv4} from 'uuid';
import type {ApiClient} from './api_client.js';
import type {CommandContext} from './command_context.js';
import {ExitCode} from './exit_code.js';

const MAX_ATTEMPTS = 5;
const RETRY_DELAY_MS = 500;

interface ChangeOptions {
  readonly json?: boolean;
  /** Expected configuration version. Default: the current version. */
  readonly expect?: number;
  readonly idempotencyKey?: string;
}

interface ChangeRequest {
  readonly method: 'PUT' | 'DELETE' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** Configuration version that `body` is based on. */
  readonly version: number;
}

/**
 * Sends one change of the configuration. If the response is lost or leaves the
 * outcome unknown, the change is retried with the same idempotency key, so it
 * is made at most once. A conflict is reported without a retry.
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
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const reply = await this.client.call(method, path, {body, headers});
      if (reply.isOk) {
        const {status} = reply.value;
        if (status < 400) {
          const newVersion = reply.value.body['version'];
          ctx.print(opts, reply.value.body, `version ${newVersion}\n`);
          return ExitCode.success;
        }
        const isUnknown = reply.value.body['outcome'] === 'outcome_unknown';
        if (!isUnknown || attempt === MAX_ATTEMPTS) {
          return ctx.reportRefusal(opts, reply.value);
        }
        isSent = true;
        detail = String(reply.value.body['detail']);
      } else {
        isSent ||= reply.error.isSent;
        detail = reply.error.detail;
        if (!isSent) break;
      }
      await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
    }
    if (!isSent) return ctx.reportNoResponse(detail, ExitCode.cannotConnect);
    ctx.io.err(
      'the change may have been made; to get its outcome, rerun with ' +
        `--expect ${expected} --idempotency-key ${key}\n`,
    );
    return ctx.reportNoResponse(detail, ExitCode.outcomeUnknown);
  }
}
