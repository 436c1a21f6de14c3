import * as v from 'valibot';

const MAX_KEY_LENGTH = 128;
const MAX_ZONE_LENGTH = 128;
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `EvacuationOrder`. */
export const EvacuationOrder = v.object({
  zone: v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_ZONE_LENGTH)),
  isEvacuated: v.boolean(),
  /** Identifies the order, so that a copy of it changes nothing. */
  key: v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_KEY_LENGTH)),
  /**
   * Number of the last order at the time this one was given. A copy that was
   * delayed in the network does not undo later orders.
   */
  after: count,
});

/** An operator's order that starts or ends the evacuation of a zone. */
export type EvacuationOrder = Readonly<v.InferOutput<typeof EvacuationOrder>>;
