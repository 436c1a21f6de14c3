import * as v from 'valibot';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const target = v.object({id: v.string(), address: v.string()});
const run = {task: v.string(), run: count, token: count};
const timeoutMs = v.pipe(v.number(), v.minValue(0));

/** Validator of an order to a worker that an entry node relays. */
export const RelayOrder = v.variant('kind', [
  v.object({
    kind: v.literal('start'),
    target,
    timeoutMs,
    order: v.object({...run, payload: v.string(), leaseEnd: v.number()}),
  }),
  v.object({
    kind: v.literal('stop'),
    target,
    timeoutMs,
    order: v.object(run),
  }),
  v.object({
    kind: v.literal('look'),
    target,
    timeoutMs,
    order: v.object({
      token: count,
      acknowledged: count,
      waitMs: v.number(),
      leaseEnd: v.optional(v.number()),
    }),
  }),
]);

/** An order to a worker that an entry node relays; `look` is a poll. */
export type RelayOrder = Readonly<v.InferOutput<typeof RelayOrder>>;
