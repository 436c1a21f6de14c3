/** What a connection of an HTTP server is doing. */
export const ConnectionState = {
  /** No complete request was received, or only part of the latest one. */
  incomplete: 'incomplete',
  /** The latest request was received and has no complete response. */
  awaiting: 'awaiting',
  /** All requests have their responses. */
  idle: 'idle',
} as const;

export type ConnectionState =
  (typeof ConnectionState)[keyof typeof ConnectionState];
