import CRC32 from 'crc-32';

/** Minimum interval over which retries of refused callers are spread. */
const MIN_SPREAD_MS = 1_000;
const UINT32 = 2 ** 32;

/**
 * Delay after which a refused caller should retry, in ms: at least the expected
 * time until the reason of the refusal no longer applies, plus a delay derived
 * from the job's id, so that the callers of a burst do not retry at once.
 */
export function retryAfterMs(jobId: string, clearInMs: number): number {
  const share = (CRC32.str(jobId) >>> 0) / UINT32;
  return Math.round(clearInMs + share * Math.max(MIN_SPREAD_MS, clearInMs));
}
