import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {TenantConfig} from '../tenant_config.js';

/** Validator of the items that differ between two versions. */
export const ConfigDiff = v.object({
  /** Newer value of each item that differs; null if it was deleted. */
  classes: v.record(v.string(), v.nullable(ClassConfig)),
  tenants: v.record(v.string(), v.nullable(TenantConfig)),
});

/** What changed between two versions, as values of the newer one. */
export type ConfigDiff = Readonly<v.InferOutput<typeof ConfigDiff>>;
