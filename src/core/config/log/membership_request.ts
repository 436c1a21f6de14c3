import * as v from 'valibot';

const node = v.pipe(v.string(), v.minLength(1), v.maxLength(64));

/** Validator of `MembershipRequest`. */
export const MembershipRequest = v.variant('op', [
  v.strictObject({op: v.literal('add'), node}),
  v.strictObject({op: v.literal('promote'), node}),
  v.strictObject({op: v.literal('remove'), node}),
  v.strictObject({op: v.literal('replace'), old: node, next: node}),
]);

/**
 * A requested change of the log's members: `add` a node as a learner, `promote`
 * a learner to a voter, `remove` a member, or `replace` the voter `old` by the
 * node `next`.
 */
export type MembershipRequest = Readonly<
  v.InferOutput<typeof MembershipRequest>
>;
