import {v5 as uuidv5, v7 as uuidv7} from 'uuid';

/** UUIDv5 namespace of the digests that replace the random part of the keys. */
const NAMESPACE = 'c4b6b7a2-6f1d-4f0e-9a55-2f6f3f1f6f10';

/**
 * Creates the key of a job that a lending zone runs for a borrowing zone. The
 * lending zone is the home zone of the key, so that every message about the job
 * is routed to its dispatcher. Borrowing zone, epoch and sequence number
 * identify the attempt, so keys are unique.
 */
export function overflowJobKey(
  lendingZone: string,
  borrowingZone: string,
  epoch: number,
  sequence: number,
  now: number,
): string {
  const random = uuidv5(
    `${borrowingZone} ${epoch} ${sequence}`,
    NAMESPACE,
    new Uint8Array(16),
  );
  return `${lendingZone}~${uuidv7({msecs: Math.floor(now), random})}`;
}
