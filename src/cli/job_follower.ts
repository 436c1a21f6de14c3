import {Result} from 'true-myth';
import type {ApiClient} from './api_client.js';
import type {ApiReply} from './api_reply.js';

const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;
const RETRY_PAUSE_MS = 200;

interface JobFollowerOptions {
  readonly client: ApiClient;
  readonly key: string;
  /** Body of the submission, without `wait_ms`. */
  readonly body: Readonly<Record<string, unknown>>;
  /** Longest time until the answer. */
  readonly timeoutMs: number;
  /** Wait of one request, after which progress is reported. */
  readonly stepMs: number;
  /** Whether the first response ends it, be the job finished or not. */
  readonly once?: boolean;
  readonly onProgress: (done: number, total: number) => void;
  readonly onRetry: (detail: string) => void;
}

interface FollowFailure {
  /** Whether any request may have reached a daemon. */
  readonly isSent: boolean;
  readonly detail: string;
}

/**
 * Submits a job and waits for its answer. When the connection breaks, the job
 * is fetched by its key; one that no daemon knows is submitted again, which is
 * safe under the same key.
 */
export class JobFollower {
  private isSent = false;
  private lastDetail = 'no answer in time';

  constructor(private readonly opts: JobFollowerOptions) {}

  async follow(): Promise<Result<ApiReply, FollowFailure>> {
    const deadline = Date.now() + this.opts.timeoutMs;
    let mode: 'submit' | 'fetch' = 'submit';
    for (;;) {
      const left = deadline - Date.now();
      if (left <= 0) break;
      const waitMs = Math.min(this.opts.stepMs, left);
      const reply = await this.request(mode, waitMs);
      if (reply.isErr) {
        if (!reply.error.isSent && !this.isSent) {
          return Result.err(reply.error);
        }
        this.isSent = true;
        mode = 'fetch';
        await this.pauseAfter(reply.error.detail);
        continue;
      }
      const {status, body} = reply.value;
      if (mode === 'fetch' && status === HTTP_NOT_FOUND) {
        mode = 'submit';
      } else if (status === HTTP_UNAVAILABLE) {
        this.isSent ||= body['outcome'] !== 'not_run';
        if (!this.isSent) return Result.ok(reply.value);
        mode = 'fetch';
        await this.pauseAfter(String(body['detail']));
      } else if (body['status'] === 'running' && !this.opts.once) {
        this.isSent = true;
        // A request that cancels on disconnect must stay the open one.
        const isBound = this.opts.body['cancel_on_disconnect'] === true;
        mode = isBound ? 'submit' : 'fetch';
        this.opts.onProgress(Number(body['done']), Number(body['total']));
      } else {
        return this.conclude(reply.value);
      }
    }
    return Result.err({isSent: true, detail: this.lastDetail});
  }

  /**
   * A refusal tells about the last request only; an earlier one, whose response
   * was lost, may still come to run.
   */
  private conclude(reply: ApiReply): Result<ApiReply, FollowFailure> {
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

  private async pauseAfter(detail: string): Promise<void> {
    this.lastDetail = detail;
    this.opts.onRetry(detail);
    await new Promise(resolve => setTimeout(resolve, RETRY_PAUSE_MS));
  }
}
