import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of the whole replicated state as snapshots hold it. */
export const ConfigSnapshot = v.object({
  version: count,
  classes: v.record(v.string(), ClassConfig),
  tenants: v.record(v.string(), TenantConfig),
  document: v.optional(PublishedDocument),
  /** Version that last changed or deleted each class. */
  class_versions: v.record(v.string(), count),
  tenant_versions: v.record(v.string(), count),
  /** Version that last published a document. */
  document_version: v.optional(count),
  /** Differences from versions below this one are no longer complete. */
  diff_floor: count,
  /** Outcomes of recent changes, oldest first. */
  outcomes: v.array(
    v.object({
      key: v.string(),
      fingerprint: v.string(),
      expected: count,
      /** Version that was produced; 0 if the change was refused. */
      accepted: count,
      /** Version in force when the change was decided. */
      seen: count,
      /** Reason of a refusal that is not a conflict. */
      invalid: v.optional(v.string()),
    }),
  ),
});

/** The whole replicated state. */
export type ConfigSnapshot = Readonly<v.InferOutput<typeof ConfigSnapshot>>;
