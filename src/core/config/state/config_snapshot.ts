import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';
import {ZoneNames} from '../zone_names.js';
import {ZoneOrders} from './zone_orders.js';

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Validator of `ConfigSnapshot`. */
export const ConfigSnapshot = v.object({
  version: count,
  classes: v.record(v.string(), ClassConfig),
  tenants: v.record(v.string(), TenantConfig),
  document: v.optional(PublishedDocument),
  evacuated: v.optional(ZoneNames),
  /** Version that last changed or deleted each class. */
  class_versions: v.record(v.string(), count),
  /** Version that last changed or deleted each tenant. */
  tenant_versions: v.record(v.string(), count),
  /** Version created by the latest published document. */
  document_version: v.optional(count),
  /** Orders of evacuations; absent before the first one. */
  zone_orders: v.optional(ZoneOrders.Snapshot),
  /** Version created by the latest order that changed something. */
  evacuation_version: v.optional(count),
  /** Oldest version from which complete diffs can be computed. */
  diff_floor: count,
  /** Outcomes of recent changes, oldest first, for detecting resent ones. */
  outcomes: v.array(
    v.object({
      key: v.string(),
      fingerprint: v.string(),
      /** Expected version of the change. */
      expected: count,
      /** Version created by the change; 0 if it was refused. */
      accepted: count,
      /** Current version when the change was accepted or refused. */
      seen: count,
      /** Reason of a refusal other than a version conflict. */
      invalid: v.optional(v.string()),
    }),
  ),
});

/** The complete replicated state, as stored in snapshots. */
export type ConfigSnapshot = Readonly<v.InferOutput<typeof ConfigSnapshot>>;
