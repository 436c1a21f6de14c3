/** Entry nodes that may dispatch for their zone while it has no leader. */
export const ZoneFallbacks = {
  /** Number of entry nodes per zone that receive the reports of its workers. */
  MAX: 3,
} as const;
