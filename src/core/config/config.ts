import type {ClassConfig} from './class_config.js';
import type {PublishedDocument} from './published_document.js';
import type {TenantConfig} from './tenant_config.js';
import type {ZoneNames} from './zone_names.js';

/** One version of the configuration; immutable. */
export interface Config {
  /** Incremented by each accepted change; 0 before the first configuration. */
  readonly version: number;
  readonly classes: Readonly<Record<string, ClassConfig>>;
  readonly tenants: Readonly<Record<string, TenantConfig>>;
  /** Published document with the highest revision, if any. */
  readonly document?: PublishedDocument | undefined;
  /** Zones on whose workers nothing is started, sorted. Default: none. */
  readonly evacuated?: ZoneNames | undefined;
}
