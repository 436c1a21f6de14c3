/** Why a worker did nothing for an order. */
export const RunRefusal = {
  /** It has seen a higher fencing token. */
  fenced: 'fenced',
  /** An equal or higher run of the task ended there. */
  old: 'old',
  /** The order came after its deadline. */
  late: 'late',
  noRoom: 'no_room',
  /** It cannot take orders at present. */
  unhealthy: 'unhealthy',
  /** Another life of the worker answers at the address. */
  otherLife: 'other_life',
  /** The order was malformed for the worker. */
  invalid: 'invalid',
} as const;

/** Why a worker did nothing for an order. */
export type RunRefusal = (typeof RunRefusal)[keyof typeof RunRefusal];
