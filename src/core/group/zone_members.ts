interface ZoneNode {
  readonly id: string;
  readonly zone: string;
}

interface ZoneMembers {
  /** Nodes of all members, in the same order on every daemon. */
  readonly members: readonly string[];
  /** Members that belong to other zones. */
  readonly witnesses: readonly string[];
}

const MIN_MEMBERS = 3;
/**
 * More members would make each commit costlier, only to tolerate three or more
 * simultaneous failures, which are unlikely.
 */
const MAX_MEMBERS = 5;

/**
 * Selects the members of a zone's group: the zone's own daemons by name, then
 * daemons of the next zones by name until there are three. The number is odd:
 * with one more member, a group tolerates no more failures, and if half of the
 * members lost their state, neither half would be a majority.
 */
export function zoneMembers(
  zone: string,
  nodes: readonly ZoneNode[],
): ZoneMembers {
  const idsOf = (name: string) =>
    nodes
      .filter(node => node.zone === name)
      .map(({id}) => id)
      .sort();
  const zones = [...new Set(nodes.map(node => node.zone))].sort();
  const own = idsOf(zone);
  const at = zones.indexOf(zone);
  const next = [...zones.slice(at + 1), ...zones.slice(0, at)];
  const missing = Math.max(0, MIN_MEMBERS - own.length);
  const witnesses = next.flatMap(idsOf).slice(0, missing);
  const candidates = [...own, ...witnesses];
  const count = Math.min(candidates.length, MAX_MEMBERS);
  const members = candidates.slice(0, count - ((count + 1) % 2));
  return {members, witnesses: members.filter(id => witnesses.includes(id))};
}
