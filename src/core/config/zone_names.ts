import * as v from 'valibot';

/** Validator of a list of zones. */
export const ZoneNames = v.pipe(v.array(v.string()), v.readonly());

/** Names of availability zones. */
export type ZoneNames = v.InferOutput<typeof ZoneNames>;
