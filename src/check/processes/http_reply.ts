/** HTTP response with its parsed JSON body. */
export interface HttpReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}
