import {Result} from 'true-myth';
import {Agent, request} from 'undici';
import type {HttpReply} from './http_reply.js';

/** Exceeds the time to any answer; a longer request counts as lost. */
const REQUEST_TIMEOUT_MS = 12_000;
/** Idle connections stay open until the server closes them. */
const KEEP_ALIVE_MS = 60_000;

interface RequestOptions {
  /** Id of the daemon that gets the request. */
  readonly node: string;
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: object;
  /** Time after which the request counts as lost. Default: 12 s. */
  readonly timeoutMs?: number;
}

/** `refused`: no process listens. `broken`: the connection failed later. */
type RequestFailure = 'timeout' | 'refused' | 'broken';

interface OpenRequest {
  readonly node: string;
  readonly description: string;
  /** Whether a failure is a violation, because the daemon stops gracefully. */
  mustComplete: boolean;
}

/** Sends requests and tracks the unanswered ones of each daemon. */
export class OpenRequests {
  readonly violations: string[] = [];
  /** Number of requests that were open when their daemon got SIGTERM. */
  openAtSigterm = 0;
  private readonly open = new Set<OpenRequest>();
  private readonly agent: Agent;

  /**
   * Without keep-alive, which is the default, no request is sent on a connection
   * that is closing.
   */
  constructor({keepsAlive = false} = {}) {
    this.agent = new Agent(
      keepsAlive ? {keepAliveTimeout: KEEP_ALIVE_MS} : {pipelining: 0},
    );
  }

  /** Resolves to undefined if the connection fails or the request times out. */
  async send(opts: RequestOptions): Promise<HttpReply | undefined> {
    const reply = await this.attempt(opts);
    return reply.unwrapOr(undefined);
  }

  /** As `send`, with the reason of a failure. */
  async attempt(
    opts: RequestOptions,
  ): Promise<Result<HttpReply, RequestFailure>> {
    const {node, method, url, headers, body, timeoutMs} = opts;
    const entry = {node, description: `${method} ${url}`, mustComplete: false};
    this.open.add(entry);
    try {
      const res = await request(url, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(timeoutMs ?? REQUEST_TIMEOUT_MS),
        headers: {
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
          ...headers,
        },
        body: body === undefined ? null : JSON.stringify(body),
      });
      const json = (await res.body.json()) as HttpReply['body'];
      return Result.ok({status: res.statusCode, body: json});
    } catch (err) {
      if (entry.mustComplete) {
        this.violations.push(
          `${node}: SIGTERM interrupted ${entry.description}: ${err}`,
        );
      }
      const {name, code} = err as NodeJS.ErrnoException;
      if (name === 'TimeoutError') return Result.err('timeout');
      return Result.err(code === 'ECONNREFUSED' ? 'refused' : 'broken');
    } finally {
      this.open.delete(entry);
    }
  }

  /** Requires open requests to complete. Called just before SIGTERM is sent. */
  requireCompletion(node: string): void {
    for (const entry of this.open) {
      if (entry.node !== node) continue;
      entry.mustComplete = true;
      this.openAtSigterm += 1;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
