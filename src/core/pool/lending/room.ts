import * as v from 'valibot';

const cpu = v.pipe(v.number(), v.finite(), v.minValue(0));

const Schema = v.object({
  /** Free CPU in whole tasks of the usual size, in thousandths of a core. */
  cpu,
  /** CPU of the largest task that one worker could start now. */
  largestTask: cpu,
});

/** Capacity that a dispatcher offers to one other dispatcher. */
export type Room = Readonly<v.InferOutput<typeof Schema>>;

/** Validator of an offer in a presence message, and the empty offer. */
export const Room = {
  schema: Schema,
  NONE: {cpu: 0, largestTask: 0} as Room,
} as const;
