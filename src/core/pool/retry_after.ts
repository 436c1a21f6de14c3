import CRC32 from 'crc-32';

/** Refused callers come back spread over at least this time. */
const MIN_SPREAD_MS = 1_000;
const UINT32 = 2 ** 32;

/**
 * When a refused caller should come back: not before what it was refused for is
 * expected to be over, and spread by the job's id, so that the callers of a
 * flood do not return together.
 */
export function retryAfterMs(jobId: string, clearInMs: number): number {
  const share = (CRC32.str(jobId) >>> 0) / UINT32;
  return Math.round(clearInMs + share * Math.max(MIN_SPREAD_MS, clearInMs));
}
