import type {ClassConfig} from './class_config.js';
import type {PublishedDocument} from './published_document.js';
import type {TenantConfig} from './tenant_config.js';

/** The configuration in force: one immutable value per version. */
export interface Config {
  /** Grows by one with each accepted change; 0 before the first. */
  readonly version: number;
  readonly classes: Readonly<Record<string, ClassConfig>>;
  readonly tenants: Readonly<Record<string, TenantConfig>>;
  /** The operator's document with the highest revision, if there is one. */
  readonly document?: PublishedDocument | undefined;
}
