/** Replication of a zone's events in a run. */
export const GroupKind = {
  /** One shared log and immediate failovers, so that runs take little time. */
  fake: 'stand_in',
  /** Real replicas with elections, on links that can be cut. */
  replica: 'replica',
} as const;

export type GroupKind = (typeof GroupKind)[keyof typeof GroupKind];
