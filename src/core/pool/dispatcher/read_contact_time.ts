/** What an entry node sends back of the last claim that it has received. */
interface ContactEvidence {
  readonly claimStatedAt?: number | undefined;
}

/**
 * Time at which an entry node certainly held the jobs that a message names, on the
 * clock of this process: when the claim was stated that the node had heard last. A
 * message that arrives or is read late thus does not prolong the contact. Undefined
 * if the message does not tell, as the claim was not heard, or was stated by an
 * earlier process of this node.
 */
export function readContactTime(
  {claimStatedAt}: ContactEvidence,
  now: number,
): number | undefined {
  if (claimStatedAt === undefined || claimStatedAt > now) return undefined;
  return claimStatedAt;
}
