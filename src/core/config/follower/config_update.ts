import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {ConfigDiff} from '../state/config_diff.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of a newer configuration on its way to a daemon. */
export const ConfigUpdate = v.variant('kind', [
  v.object({
    kind: v.literal('whole'),
    log: v.string(),
    version: count,
    classes: v.record(v.string(), ClassConfig),
    tenants: v.record(v.string(), TenantConfig),
    document: v.optional(PublishedDocument),
  }),
  v.object({
    kind: v.literal('diff'),
    log: v.string(),
    version: count,
    /** The difference is complete for any version from this one on. */
    base: count,
    diff: ConfigDiff,
    /** Absent if it has not changed since `base`. */
    document: v.optional(PublishedDocument),
  }),
]);

/** A newer configuration, as a whole or as a difference. */
export type ConfigUpdate = Readonly<v.InferOutput<typeof ConfigUpdate>>;
