/** How it became known that a run is over although no end was reported. */
export const LossCause = {
  /** The worker did not reply until its lease had expired. */
  leaseExpired: 'lease_expired',
  /** Another process instance replied. */
  restarted: 'restarted',
  /** The worker reports the run neither as active nor as ended. */
  notListed: 'not_listed',
  /** The worker reports from another address. */
  moved: 'moved',
} as const;

/** How it became known that a run is over although no end was reported. */
export type LossCause = (typeof LossCause)[keyof typeof LossCause];
