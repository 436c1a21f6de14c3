/** Why a request body was not accepted; nothing was run. */
export interface BodyError {
  readonly status: 400 | 413 | 503;
  readonly detail: string;
  readonly retryAfterMs?: number;
}
