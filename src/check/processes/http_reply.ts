/** An HTTP response, read whole. */
export interface HttpReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}
