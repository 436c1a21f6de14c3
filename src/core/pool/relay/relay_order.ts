import * as v from 'valibot';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const target = v.object({
  id: v.string(),
  address: v.string(),
  /** Process instance of the worker; older nodes omit it, and polls of any. */
  bornAt: v.optional(v.number()),
});
const run = {task: v.string(), run: count, token: count};
const timing = {
  timeoutMs: v.pipe(v.number(), v.minValue(0)),
  /**
   * Until when the order may be passed on, on the relay's elapsed time; undefined
   * if the sender does not know that.
   */
  expiresAt: v.optional(v.number()),
};

/** Validator of an order to a worker that a core or entry node relays. */
export const RelayOrder = v.variant('kind', [
  v.object({
    kind: v.literal('start'),
    target,
    ...timing,
    order: v.object({...run, payload: v.string(), leaseEnd: v.number()}),
  }),
  v.object({
    kind: v.literal('stop'),
    target,
    ...timing,
    order: v.object(run),
  }),
  v.object({
    kind: v.literal('look'),
    target,
    ...timing,
    order: v.object({
      token: count,
      acknowledged: count,
      waitMs: v.number(),
      leaseEnd: v.optional(v.number()),
    }),
  }),
]);

/** An order to a worker that a core or entry node relays; `look` is a poll. */
export type RelayOrder = Readonly<v.InferOutput<typeof RelayOrder>>;
