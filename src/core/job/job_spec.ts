import type {TaskSpec} from './task_spec.js';

/** A job as accepted: what the caller asked for and under which key. */
export interface JobSpec {
  readonly key: string;
  /** Epoch milliseconds at which the key was made. */
  readonly keyTimeMs: number;
  readonly className: string;
  readonly tenant: string;
  /** False when the request forbids a second attempt of any of its tasks. */
  readonly repeatable: boolean;
  readonly tasks: readonly TaskSpec[];
  /** Digest of the body, so that a reused key with another body is noticed. */
  readonly fingerprint: string;
  /** Epoch milliseconds of the submission at its first daemon. */
  readonly submittedAt: number;
  /** Zone whose task this is, when it runs on slots lent to that zone. */
  readonly lentTo?: string;
}
