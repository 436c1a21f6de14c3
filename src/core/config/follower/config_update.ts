import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {ConfigDiff} from '../state/config_diff.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';
import {ZoneNames} from '../zone_names.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `ConfigUpdate`. */
export const ConfigUpdate = v.variant('kind', [
  v.object({
    kind: v.literal('whole'),
    log: v.string(),
    version: count,
    classes: v.record(v.string(), ClassConfig),
    tenants: v.record(v.string(), TenantConfig),
    document: v.optional(PublishedDocument),
    evacuated: v.optional(ZoneNames),
  }),
  v.object({
    kind: v.literal('diff'),
    log: v.string(),
    version: count,
    /** Oldest version to which the diff can be applied. */
    base: count,
    diff: ConfigDiff,
    /** Absent if the document has not changed since `base`. */
    document: v.optional(PublishedDocument),
    /** Absent if the evacuated zones have not changed since `base`. */
    evacuated: v.optional(ZoneNames),
  }),
]);

/** A newer configuration sent to a node, in full or as a diff. */
export type ConfigUpdate = Readonly<v.InferOutput<typeof ConfigUpdate>>;
