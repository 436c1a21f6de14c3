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

/** Validator of `ConfigChange`. */
export const ConfigChange = v.pipe(
  v.strictObject({
    /** Idempotency key, chosen by the operator; the same when resent. */
    key: v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_KEY_LENGTH)),
    /** Version that the change is based on; must be the current one. */
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
    'each class may be listed only once',
  ),
  v.check(
    c => isUnique([...c.put_tenants.map(x => x.name), ...c.delete_tenants]),
    'each tenant may be listed only once',
  ),
);

/** A change of the configuration by an operator; applied atomically. */
export type ConfigChange = Readonly<v.InferOutput<typeof ConfigChange>>;
