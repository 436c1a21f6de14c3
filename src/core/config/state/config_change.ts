import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {TenantConfig} from '../tenant_config.js';

const MAX_KEY_LENGTH = 128;
const MAX_ITEMS = 1_000;
const MAX_NAME_LENGTH = 63;

const names = v.optional(
  v.pipe(
    v.array(v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_LENGTH))),
    v.maxLength(MAX_ITEMS),
  ),
  [],
);

function isUnique(values: readonly string[]): boolean {
  return new Set(values).size === values.length;
}

/** Validator of one operator's change of the configuration. */
export const ConfigChange = v.pipe(
  v.strictObject({
    /** Chosen by the operator; a resent change has the same key. */
    key: v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_KEY_LENGTH)),
    /** Version that the change starts from. */
    expected_version: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    put_classes: v.optional(
      v.pipe(v.array(ClassConfig), v.maxLength(MAX_ITEMS)),
      [],
    ),
    delete_classes: names,
    put_tenants: v.optional(
      v.pipe(v.array(TenantConfig), v.maxLength(MAX_ITEMS)),
      [],
    ),
    delete_tenants: names,
  }),
  v.check(
    c =>
      c.put_classes.length +
        c.delete_classes.length +
        c.put_tenants.length +
        c.delete_tenants.length >
      0,
    'expected at least one put or delete',
  ),
  v.check(
    c => isUnique([...c.put_classes.map(x => x.name), ...c.delete_classes]),
    'a class is named twice',
  ),
  v.check(
    c => isUnique([...c.put_tenants.map(x => x.name), ...c.delete_tenants]),
    'a tenant is named twice',
  ),
);

/** One operator's change, accepted or refused as a whole. */
export type ConfigChange = Readonly<v.InferOutput<typeof ConfigChange>>;
