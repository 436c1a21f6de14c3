import type {ConfigEdit} from './config_edit.js';

/** An edit with what makes it safe to race and to send again. */
export interface ConfigChange {
  /** A change that is sent again under its key gets its first outcome. */
  readonly key: string;
  /** Version that the operator has seen; of equal ones only one wins. */
  readonly expectedVersion: number;
  readonly edit: ConfigEdit;
}
