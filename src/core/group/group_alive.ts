import * as v from 'valibot';

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Validator of the answer to a heartbeat: epoch and incarnation. */
export const GroupAlive = v.tuple([count, count]);

/** The answer to a heartbeat. */
export type GroupAlive = Readonly<v.InferOutput<typeof GroupAlive>>;
