import type {ConfigDifference} from './config_difference.js';

/** Why a change of the configuration was not made, or is not known to be. */
export type ConfigRefusal =
  | {
      /** The configuration is no longer at the expected version. */
      readonly kind: 'conflict';
      readonly version: number;
      /** From the expected version on; undefined if that is forgotten. */
      readonly changes: readonly ConfigDifference[] | undefined;
    }
  | {
      readonly kind: 'invalid' | 'not_found' | 'key_reused' | 'unsupported';
      readonly detail: string;
    }
  /** No quorum in time; `isSubmitted` if the change may still be made. */
  | {
      readonly kind: 'unavailable';
      readonly detail: string;
      readonly isSubmitted: boolean;
    };
