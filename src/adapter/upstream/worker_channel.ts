import {Pool} from 'undici';
import type {Dispatcher as HttpDispatcher} from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;
/** Limit of the reply to a control message, which may contain many results. */
const MAX_REPLY_BYTES = 64 * 1024 * 1024;
/** Connections reserved for control messages; the others are for starts. */
const CONTROL_CONNECTIONS = 1;
/**
 * Limit of pending messages per kind. Further messages are dropped, because the
 * dispatcher repeats messages that had no effect.
 */
const MAX_PENDING: Readonly<Record<ControlKind, number>> = {
  fence: 1,
  settle: 1,
  stop: 4,
};

type ControlKind = 'fence' | 'settle' | 'stop';

interface PostOptions {
  readonly path: string;
  readonly body: object;
  readonly signal: AbortSignal;
}

/**
 * Connections to one worker, at most as many as it announced. Starts occupy
 * their connections while tasks run, so control messages use a separate one.
 */
export class WorkerChannel {
  private readonly controlPool: Pool;
  private readonly startPool: Pool;
  private readonly maxStreams: number;
  private openStreams = 0;
  private readonly pending = {fence: 0, settle: 0, stop: 0};

  constructor(
    readonly address: string,
    connections: number,
  ) {
    this.maxStreams = Math.max(1, connections - CONTROL_CONNECTIONS);
    const connect = {timeout: CONNECT_TIMEOUT_MS};
    this.controlPool = new Pool(address, {
      connections: CONTROL_CONNECTIONS,
      pipelining: 1,
      connect,
      maxResponseSize: MAX_REPLY_BYTES,
    });
    this.startPool = new Pool(address, {
      connections: this.maxStreams,
      pipelining: 1,
      connect,
    });
  }

  /** False while every connection for starts is in use. */
  get hasFreeStream(): boolean {
    return this.openStreams < this.maxStreams;
  }

  /** Sends a request that occupies a connection until `exchange` returns. */
  async withStream(
    opts: PostOptions,
    exchange: (res: HttpDispatcher.ResponseData) => Promise<void>,
    timeouts: {readonly headersTimeout: number; readonly bodyTimeout: number},
  ): Promise<void> {
    this.openStreams += 1;
    try {
      await exchange(
        await this.startPool.request({...requestOf(opts), ...timeouts}),
      );
    } finally {
      this.openStreams -= 1;
    }
  }

  /** Sends a control message; undefined if too many are pending. */
  async post(
    kind: ControlKind,
    opts: PostOptions,
  ): Promise<{readonly status: number; readonly json: unknown} | undefined> {
    if (this.pending[kind] >= MAX_PENDING[kind]) return undefined;
    this.pending[kind] += 1;
    try {
      const res = await this.controlPool.request(requestOf(opts));
      return {status: res.statusCode, json: await res.body.json()};
    } finally {
      this.pending[kind] -= 1;
    }
  }

  async destroy(): Promise<void> {
    await Promise.all([this.controlPool.destroy(), this.startPool.destroy()]);
  }
}

function requestOf({path, body, signal}: PostOptions) {
  return {
    path,
    method: 'POST' as const,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
    signal,
  };
}
