import * as v from 'valibot';

const NODE_ID_FORMAT =
  'must be 1 to 63 characters of a-z, 0-9 and "-", not starting with "-"';
const node = v.pipe(
  v.string(NODE_ID_FORMAT),
  v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, NODE_ID_FORMAT),
);

/** Schema of the body of `POST /v1/voters`. */
export const VoterRequest = v.variant('action', [
  v.strictObject({action: v.picklist(['add', 'remove']), node}),
  v.strictObject({action: v.literal('replace'), node, replacement: node}),
]);

/** The body of `POST /v1/voters`. */
export type VoterRequest = v.InferOutput<typeof VoterRequest>;
