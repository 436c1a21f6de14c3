import * as v from 'valibot';

/** Validator of a grant. */
export const ZoneGrant = v.object({
  zone: v.string(),
  /** Core node that dispatches for the zone, its holder. */
  node: v.string(),
  /** Fencing token under which the holder dispatches. */
  token: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  /**
   * Start time of the process that may open a dispatcher. A later process on the
   * node does not use the token, since orders of the earlier one may still arrive.
   * Absent if the dispatcher was open already.
   */
  startedAt: v.optional(v.number()),
  /**
   * Token of the dispatcher that had the zone before, as far as the leader knows;
   * the holder has to know the workers of that one.
   */
  earlierToken: v.optional(v.pipe(v.number(), v.safeInteger(), v.minValue(0))),
});

/** Permission of the leader to dispatch for a zone. */
export type ZoneGrant = Readonly<v.InferOutput<typeof ZoneGrant>>;
