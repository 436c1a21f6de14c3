/** What a connection of an HTTP server is doing. */
export const ConnectionState = {
  /** Only part of a request was received, or nothing yet. */
  incomplete: 'incomplete',
  /** A complete request has no complete response. */
  awaiting: 'awaiting',
  /** All requests have their responses. */
  idle: 'idle',
} as const;

export type ConnectionState =
  (typeof ConnectionState)[keyof typeof ConnectionState];
