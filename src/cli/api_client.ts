import {Result} from 'true-myth';
import {request} from 'undici';
import type {ApiReply} from './api_reply.js';

/** Longer than the longest `wait_ms` that a daemon accepts (60 s). */
const RESPONSE_TIMEOUT_MS = 75_000;
/** Error codes that guarantee that no part of the request was sent. */
const UNSENT_CODES = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EAI_AGAIN',
  'ETIMEDOUT',
  'UND_ERR_CONNECT_TIMEOUT',
  'ERR_INVALID_URL',
  'UND_ERR_INVALID_ARG',
];

interface ApiFailure {
  /** Whether the request may have reached the daemon. */
  readonly isSent: boolean;
  readonly detail: string;
}

interface CallOptions {
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

type Method = 'GET' | 'POST' | 'PUT' | 'DELETE';

/** HTTP client of the caller API or the admin API of a daemon. */
export class ApiClient {
  /** @param token Bearer token; required by the admin API only. */
  constructor(
    readonly origin: string,
    private readonly token?: string,
  ) {}

  async call(
    method: Method,
    path: string,
    opts: CallOptions = {},
  ): Promise<Result<ApiReply, ApiFailure>> {
    try {
      const res = await request(`${this.origin}${path}`, {
        method,
        headersTimeout: RESPONSE_TIMEOUT_MS,
        bodyTimeout: RESPONSE_TIMEOUT_MS,
        headers: {
          ...(this.token ? {authorization: `Bearer ${this.token}`} : {}),
          ...(opts.body === undefined
            ? {}
            : {'content-type': 'application/json'}),
          ...opts.headers,
        },
        body: opts.body === undefined ? null : JSON.stringify(opts.body),
      });
      const body = (await res.body.json()) as ApiReply['body'];
      const etag = /^"(\d+)"$/.exec(String(res.headers['etag']))?.[1];
      const version = etag === undefined ? undefined : Number(etag);
      return Result.ok({status: res.statusCode, version, body});
    } catch (err) {
      return Result.err(this.toFailure(err));
    }
  }

  private toFailure(err: unknown): ApiFailure {
    const {code = '', message} = err as Error & {code?: string};
    const isSent = !UNSENT_CODES.includes(code);
    const detail = `${this.origin}: ${message || code}`;
    return {isSent, detail};
  }
}
