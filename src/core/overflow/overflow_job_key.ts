import {v5 as uuidv5, v7 as uuidv7} from 'uuid';

/** Namespace of the digests that stand for the random part of the keys. */
const NAMESPACE = 'c4b6b7a2-6f1d-4f0e-9a55-2f6f3f1f6f10';

/**
 * Makes the key of a job that a zone runs for another one. It names the lending
 * zone as home, so that every message about it finds that zone's dispatcher.
 * Borrower, epoch and sequence identify the attempt, so no two keys are equal.
 */
export function overflowJobKey(
  lender: string,
  borrower: string,
  epoch: number,
  sequence: number,
  now: number,
): string {
  const random = uuidv5(
    `${borrower} ${epoch} ${sequence}`,
    NAMESPACE,
    new Uint8Array(16),
  );
  return `${lender}~${uuidv7({msecs: Math.floor(now), random})}`;
}
