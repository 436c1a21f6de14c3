import {Agent, request} from 'undici';
import type {HttpReply} from './http_reply.js';

/** Longer than any answer takes; beyond it a request counts as lost. */
const REQUEST_TIMEOUT_MS = 12_000;

interface RequestOptions {
  /** The daemon that is asked. */
  readonly node: string;
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: object;
  /** Default: the bound after which a request counts as lost. */
  readonly timeoutMs?: number;
}

interface OpenRequest {
  readonly node: string;
  readonly description: string;
  /** Set by a planned stop of the daemon: the answer must come. */
  mustComplete: boolean;
}

/** Sends requests and knows which ones each daemon has not answered yet. */
export class OpenRequests {
  readonly violations: string[] = [];
  /** Requests that were open when their daemon got SIGTERM. */
  openAtSigterm = 0;
  private readonly open = new Set<OpenRequest>();
  /** Without keep-alive no request meets a connection that is being closed. */
  private readonly agent = new Agent({pipelining: 0});

  /** Undefined when the connection was refused, cut or gave no answer. */
  async send(opts: RequestOptions): Promise<HttpReply | undefined> {
    const {node, method, url, headers, body, timeoutMs: limitMs} = opts;
    const entry = {node, description: `${method} ${url}`, mustComplete: false};
    this.open.add(entry);
    try {
      const res = await request(url, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(limitMs ?? REQUEST_TIMEOUT_MS),
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
          `${node}: SIGTERM cut ${entry.description}: ${err}`,
        );
      }
      return undefined;
    } finally {
      this.open.delete(entry);
    }
  }

  /** Called right before a daemon gets SIGTERM. */
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
