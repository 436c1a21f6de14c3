import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;

/** Validator of a tenant as an operator sets it. */
export const TenantConfig = v.strictObject({
  name: v.pipe(v.string(), v.regex(NAME_PATTERN)),
  /** Most slots the tenant may hold at once in a zone; no limit if absent. */
  quota_slots: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

/** A team that shares the deployment, with its quota. */
export type TenantConfig = Readonly<v.InferOutput<typeof TenantConfig>>;
