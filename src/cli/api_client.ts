import {Result} from 'true-myth';
import {request} from 'undici';
import type {ApiReply} from './api_reply.js';

/** Beyond the longest wait that a daemon grants. */
const RESPONSE_TIMEOUT_MS = 75_000;
/** Errors after which the request surely did not leave this host. */
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

/** Calls one HTTP API of a daemon. */
export class ApiClient {
  /** @param token Bearer token, for the admin API. */
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
      return Result.err(this.failure(err));
    }
  }

  private failure(err: unknown): ApiFailure {
    const {code = '', message} = err as Error & {code?: string};
    const isSent = !UNSENT_CODES.includes(code);
    const detail = `${this.origin}: ${message || code}`;
    return {isSent, detail};
  }
}
