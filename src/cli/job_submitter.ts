import {Result} from 'true-myth';
import type {ApiClient} from './api_client.js';
import type {ApiReply} from './api_reply.js';

const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;
const RETRY_DELAY_MS = 200;

interface JobSubmitterOptions {
  readonly client: ApiClient;
  readonly key: string;
  /** Request body without `wait_ms`. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Longest wait for the result. */
  readonly timeoutMs: number;
  /** Longest wait of one request; progress is reported after each. */
  readonly longPollMs: number;
  /** Whether to return the first response even if the job still runs. */
  readonly returnsFirstReply?: boolean;
  readonly onProgress: (done: number, total: number) => void;
  readonly onRetry: (detail: string) => void;
}

interface SubmitFailure {
  /** Whether any of the requests may have reached a daemon. */
  readonly isSent: boolean;
  readonly detail: string;
}

/**
 * Submits a job and waits for its result. After a connection error the job is
 * fetched by its key. If the key is unknown, the job is submitted again, which
 * is safe with the same idempotency key.
 */
export class JobSubmitter {
  private isSent = false;
  private lastDetail = 'no result within the timeout';

  constructor(private readonly opts: JobSubmitterOptions) {}

  async submitAndWait(): Promise<Result<ApiReply, SubmitFailure>> {
    const deadline = Date.now() + this.opts.timeoutMs;
    let mode: 'submit' | 'fetch' = 'submit';
    for (;;) {
      const remainingMs = deadline - Date.now();
      if (remainingMs <= 0) break;
      const waitMs = Math.min(this.opts.longPollMs, remainingMs);
      const reply = await this.request(mode, waitMs);
      if (reply.isErr) {
        if (!reply.error.isSent && !this.isSent) {
          return Result.err(reply.error);
        }
        this.isSent = true;
        mode = 'fetch';
        await this.reportAndDelay(reply.error.detail);
        continue;
      }
      const {status, body} = reply.value;
      if (mode === 'fetch' && status === HTTP_NOT_FOUND) {
        mode = 'submit';
      } else if (status === HTTP_UNAVAILABLE) {
        this.isSent ||= body['outcome'] !== 'not_run';
        if (!this.isSent) return Result.ok(reply.value);
        mode = 'fetch';
        await this.reportAndDelay(String(body['detail']));
      } else if (body['status'] === 'running' && !this.opts.returnsFirstReply) {
        this.isSent = true;
        // Only the disconnect of a submission cancels the job, so submissions
        // must be the requests that wait.
        const cancelsOnDisconnect =
          this.opts.body['cancel_on_disconnect'] === true;
        mode = cancelsOnDisconnect ? 'submit' : 'fetch';
        this.opts.onProgress(Number(body['done']), Number(body['total']));
      } else {
        return this.toFinalReply(reply.value);
      }
    }
    return Result.err({isSent: true, detail: this.lastDetail});
  }

  /**
   * Reports the outcome of a refusal as unknown if an earlier request may have
   * been received: its job may still run, as the refusal covers only the last
   * request.
   */
  private toFinalReply(reply: ApiReply): Result<ApiReply, SubmitFailure> {
    if (reply.status < 400 || !this.isSent) return Result.ok(reply);
    const body = {...reply.body, outcome: 'outcome_unknown'};
    return Result.ok({...reply, body});
  }

  private request(mode: 'submit' | 'fetch', waitMs: number) {
    const {client, key, body} = this.opts;
    const wait = Math.floor(waitMs);
    if (mode === 'fetch') {
      const path = `/v1/jobs/${encodeURIComponent(key)}?wait_ms=${wait}`;
      return client.call('GET', path);
    }
    return client.call('POST', '/v1/jobs', {
      body: {...body, wait_ms: wait},
      headers: {'idempotency-key': `"${key}"`},
    });
  }

  private async reportAndDelay(detail: string): Promise<void> {
    this.lastDetail = detail;
    this.opts.onRetry(detail);
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
  }
}
