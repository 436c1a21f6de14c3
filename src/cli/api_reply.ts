/** Response of a daemon with any HTTP status. */
export interface ApiReply {
  readonly status: number;
  /** Configuration version from the `ETag` header, if present. */
  readonly version: number | undefined;
  readonly body: Readonly<Record<string, unknown>>;
}
