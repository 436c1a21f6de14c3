/** What replicates the events of a zone in a run. */
export const GroupKind = {
  /** One shared log; faults hit at once, so that many runs fit in a minute. */
  fake: 'stand_in',
  /** Real replicas with elections, over links that can be cut. */
  replica: 'replica',
} as const;

export type GroupKind = (typeof GroupKind)[keyof typeof GroupKind];
