import type {ClassConfig} from '../../core/config/class_config.js';
import type {TenantConfig} from '../../core/config/tenant_config.js';

/** An operator's edit of one configuration entry. */
export type ConfigEdit =
  | {readonly kind: 'set_class'; readonly value: ClassConfig}
  | {readonly kind: 'delete_class'; readonly name: string}
  | {readonly kind: 'set_tenant'; readonly value: TenantConfig}
  | {readonly kind: 'delete_tenant'; readonly name: string};
