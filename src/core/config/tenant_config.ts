import * as v from 'valibot';

const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,62}$/;

/** Validator of `TenantConfig`. */
export const TenantConfig = v.strictObject({
  name: v.pipe(v.string(), v.regex(NAME_PATTERN)),
  /** Maximum slots in use per zone at a time; unlimited if absent. */
  quota_slots: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1))),
});

/** A client account that shares the deployment, with its quota. */
export type TenantConfig = Readonly<v.InferOutput<typeof TenantConfig>>;
