/** Roles of a member of the log. */
export const LogRole = {
  /** Follows a leader or waits for one to be elected. */
  follower: 'follower',
  /** Runs a pre-vote or an election. */
  candidate: 'candidate',
  leader: 'leader',
  /** Its disk failed: it neither votes nor acknowledges entries. */
  failed: 'failed',
} as const;

/** Role of a member of the log in its current term. */
export type LogRole = (typeof LogRole)[keyof typeof LogRole];
