import type {DispatcherClaim} from '../node/dispatcher_claim.js';

/**
 * Token above which the workers of a zone prove that all runs of an earlier
 * dispatcher are known. Nothing proves it for the leader, which may have started
 * tasks on workers of several zones: its runs must have ended.
 */
export function provingToken({
  isFallback,
  zone,
  token,
}: DispatcherClaim): number {
  return isFallback || zone !== undefined ? token : Number.POSITIVE_INFINITY;
}
