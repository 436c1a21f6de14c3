/** What a member does in its term. */
export const LogRole = {
  /** Follows a leader, or waits for one. */
  follower: 'follower',
  /** Asks whether an election could be won, or holds one. */
  candidate: 'candidate',
  leader: 'leader',
  /** Its folder failed: it neither votes nor acknowledges. */
  failed: 'failed',
} as const;

/** What a member does in its term. */
export type LogRole = (typeof LogRole)[keyof typeof LogRole];
