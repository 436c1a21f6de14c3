import {Agent, request} from 'undici';
import type {HttpReply} from './http_reply.js';

/** Exceeds the time to any answer; a longer request counts as lost. */
const REQUEST_TIMEOUT_MS = 12_000;

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
  /** Without keep-alive, no request is sent on a connection that is closing. */
  private readonly agent = new Agent({pipelining: 0});

  /** Resolves to undefined if the connection fails or the request times out. */
  async send(opts: RequestOptions): Promise<HttpReply | undefined> {
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
      return {status: res.statusCode, body: json};
    } catch (err) {
      if (entry.mustComplete) {
        this.violations.push(
          `${node}: SIGTERM interrupted ${entry.description}: ${err}`,
        );
      }
      return undefined;
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
