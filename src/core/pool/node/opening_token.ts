import {FencingToken} from '../lease/fencing_token.js';
import type {DispatcherClaim} from './dispatcher_claim.js';

/**
 * Token under which the dispatcher of a claim was opened, which tells it from all
 * others; a leader's may have been raised since.
 */
export function openingToken({
  isFallback,
  zone,
  term,
  token,
  firstToken,
}: DispatcherClaim): number {
  if (isFallback || zone !== undefined) return token;
  return firstToken ?? FencingToken.ofTerm(term);
}
