import * as v from 'valibot';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of a request for the list of a dispatcher's workers. */
export const WorkerListRequest = v.object({
  /** Token under which the dispatcher of the sender's copy was opened; 0 if none. */
  token: count,
  /** Version of the copy, which the request confirms; 0 if there is none. */
  version: count,
});

/** Request of a node that has a copy of the list, or wants one. */
export type WorkerListRequest = Readonly<
  v.InferOutput<typeof WorkerListRequest>
>;
