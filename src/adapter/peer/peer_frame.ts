/** A frame on a connection between two daemons. */
export type PeerFrame =
  | {readonly type: 'hello'; readonly node: string}
  | {readonly type: 'ping'}
  | {readonly type: 'pong'}
  | {readonly type: 'message'; readonly kind: string; readonly body?: unknown}
  | {
      readonly type: 'request';
      readonly id: number;
      readonly method: string;
      readonly body?: unknown;
    }
  | {readonly type: 'response'; readonly id: number; readonly body?: unknown}
  /** The request handler failed; whether it had any effect is unknown. */
  | {readonly type: 'failure'; readonly id: number; readonly detail: string};
