import * as v from 'valibot';

/** Schema of the body of `PUT /v1/zones/NAME`. */
export const ZoneRequest = v.strictObject({evacuated: v.boolean()});

/** The body of `PUT /v1/zones/NAME`. */
export type ZoneRequest = v.InferOutput<typeof ZoneRequest>;
