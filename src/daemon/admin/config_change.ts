import type {ConfigEdit} from './config_edit.js';

/** An edit with the fields that detect concurrent changes and retries. */
export interface ConfigChange {
  /** Idempotency key: a retry with the same key returns the first outcome. */
  readonly key: string;
  /**
   * Version that the edit is based on. Of several changes based on one version
   * only the first is accepted.
   */
  readonly expectedVersion: number;
  readonly edit: ConfigEdit;
}
