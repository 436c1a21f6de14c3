import type {JobSpec} from './job_spec.js';

/** A request about one job, as it goes to the dispatcher of its home zone. */
export type JobRequest =
  | {
      readonly kind: 'submit';
      readonly key: string;
      readonly spec: JobSpec;
      readonly waitMs: number;
    }
  | {readonly kind: 'fetch'; readonly key: string; readonly waitMs: number}
  | {readonly kind: 'cancel'; readonly key: string}
  /** Asks about a lent task; one not known never starts from then on. */
  | {readonly kind: 'settle'; readonly key: string}
  | {readonly kind: 'acknowledge'; readonly key: string};
