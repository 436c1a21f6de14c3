import * as v from 'valibot';

const node = v.pipe(v.string(), v.minLength(1), v.maxLength(64));

/** Validator of an operator's change of the log's members. */
export const MembershipRequest = v.variant('op', [
  v.strictObject({op: v.literal('add'), node}),
  v.strictObject({op: v.literal('promote'), node}),
  v.strictObject({op: v.literal('remove'), node}),
  v.strictObject({op: v.literal('replace'), old: node, next: node}),
]);

/**
 * An operator's change of the log's members: `add` a learner, `promote` it to
 * a voter, `remove` a member, or `replace` a voter by another node.
 */
export type MembershipRequest = Readonly<
  v.InferOutput<typeof MembershipRequest>
>;
