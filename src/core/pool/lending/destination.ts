import * as v from 'valibot';

/** Validator of a Destination. */
export const Destination = v.object({
  /** Zone that lends, whose dispatcher has the job from now on. */
  zone: v.string(),
  /** Node of its dispatcher, as last known by the home zone. */
  node: v.string(),
  /** Fencing token of its dispatcher. */
  token: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
});

/** Where a job was moved to. */
export type Destination = Readonly<v.InferOutput<typeof Destination>>;
