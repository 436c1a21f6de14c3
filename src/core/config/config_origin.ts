/** How a configuration reached this node. */
export const ConfigOrigin = {
  /** It was in force before the process was started again. */
  disk: 'disk',
  /** Committed in the log that this node stores. */
  log: 'log',
  /** Sent by the leader to a node that does not store the log. */
  push: 'push',
  /** Reply to a poll of this node. */
  poll: 'poll',
} as const;

export type ConfigOrigin = (typeof ConfigOrigin)[keyof typeof ConfigOrigin];
