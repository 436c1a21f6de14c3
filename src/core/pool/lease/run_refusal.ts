/** Why a worker refused an order. */
export const RunRefusal = {
  /** The worker has seen a higher fencing token. */
  fenced: 'fenced',
  /** A run of the task with the same or a higher number has ended there. */
  old: 'old',
  /** The order was received after its deadline. */
  late: 'late',
  /** The free capacity of the worker is too small. */
  noRoom: 'no_room',
  /** The worker cannot accept orders at present. */
  unhealthy: 'unhealthy',
  /** Another process instance replied at the address. */
  otherLife: 'other_life',
  /** A relay read the order after its sender had given it up. */
  expired: 'expired',
  /** The worker rejected the order as malformed. */
  invalid: 'invalid',
} as const;

/** Why a worker refused an order. */
export type RunRefusal = (typeof RunRefusal)[keyof typeof RunRefusal];
