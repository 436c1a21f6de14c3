import type {ConfigDifference} from './config_difference.js';

/** Why a configuration change failed or may have failed. */
export type ConfigRefusal =
  | {
      /** The current version differs from the expected one. */
      readonly kind: 'conflict';
      readonly version: number;
      /**
       * Changes since the expected version; undefined if that version is no
       * longer stored.
       */
      readonly changes: readonly ConfigDifference[] | undefined;
    }
  | {
      readonly kind: 'invalid' | 'not_found' | 'key_reused' | 'unsupported';
      readonly detail: string;
    }
  /** No quorum in time; `isSubmitted` if the change may still be accepted. */
  | {
      readonly kind: 'unavailable';
      readonly detail: string;
      readonly isSubmitted: boolean;
    };
