import type {DispatcherClaim} from '../node/dispatcher_claim.js';

/** Whether two claims are of the same dispatcher; a token may have increased. */
export function isSameDispatcher(
  a: DispatcherClaim | undefined,
  b: DispatcherClaim | undefined,
): boolean {
  if (!a || !b) return a === b;
  if (a.isFallback !== b.isFallback || a.node !== b.node) return false;
  if (a.zone !== b.zone) return false;
  if (a.isFallback || a.zone !== undefined) return a.token === b.token;
  return a.term === b.term && a.firstToken === b.firstToken;
}
