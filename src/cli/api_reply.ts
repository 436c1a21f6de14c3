/** A response of a daemon, of any status. */
export interface ApiReply {
  readonly status: number;
  /** Configuration version in the ETag, if there is one. */
  readonly version: number | undefined;
  readonly body: Readonly<Record<string, unknown>>;
}
