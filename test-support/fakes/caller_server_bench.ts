import {Result} from 'true-myth';
import {CallerApi} from '../../src/adapter/http/caller_api.js';
import {CallerServer} from '../../src/adapter/http/caller_server.js';
import type {HttpLimits} from '../../src/adapter/http/http_limits.js';
import {WorkerApi} from '../../src/adapter/http/worker_api.js';
import {SystemClock} from '../../src/adapter/system_clock.js';
import type {JobAnswer} from '../../src/core/job/job_answer.js';
import type {Refusal} from '../../src/core/job/refusal.js';
import type {JobRequest} from '../../src/core/job/job_request.js';

type Answer = Result<JobAnswer, Refusal>;

/** Caller server on a free port with an in-memory backend. */
export class CallerServerBench {
  /** Requests that were routed to the backend. */
  readonly routed: JobRequest[] = [];
  readonly errors: string[] = [];
  readonly server: CallerServer;
  /** Replies to a request. Default: every job completes immediately. */
  answer: (req: JobRequest) => Promise<Answer> | Answer = ({key}) =>
    Result.ok({status: 'complete', key, results: []});

  constructor(limits?: HttpLimits) {
    this.server = new CallerServer({
      host: '127.0.0.1',
      port: 0,
      limits,
      callers: new CallerApi({
        zone: 'arbat',
        clock: new SystemClock(),
        route: async (_key, req) => {
          this.routed.push(req);
          return this.answer(req);
        },
      }),
      workers: new WorkerApi({
        announce: async () => ({lease_ms: 3_000, epoch: 1}),
      }),
      isReady: () => true,
      onError: detail => this.errors.push(detail),
    });
  }

  static async start(limits?: HttpLimits): Promise<CallerServerBench> {
    const bench = new CallerServerBench(limits);
    await bench.server.start();
    return bench;
  }

  get port(): number {
    return this.server.port;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Formats an HTTP request as it is sent over the connection. */
  static formatRequest(
    method: string,
    path: string,
    body?: string,
    headers: Readonly<Record<string, string>> = {},
  ): string {
    const lines = Object.entries({
      host: 'localhost',
      ...(body === undefined
        ? {}
        : {
            'content-type': 'application/json',
            'content-length': String(Buffer.byteLength(body)),
          }),
      ...headers,
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body ?? ''}`;
  }
}
