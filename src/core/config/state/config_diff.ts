import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {TenantConfig} from '../tenant_config.js';

/** Validator of `ConfigDiff`. */
export const ConfigDiff = v.object({
  /** New value of each changed class; null if it was deleted. */
  classes: v.record(v.string(), v.nullable(ClassConfig)),
  /** New value of each changed tenant; null if it was deleted. */
  tenants: v.record(v.string(), v.nullable(TenantConfig)),
});

/** Classes and tenants that differ between two versions. */
export type ConfigDiff = Readonly<v.InferOutput<typeof ConfigDiff>>;
