interface ZoneNode {
  readonly id: string;
  readonly zone: string;
}

interface ZoneMembers {
  /** All members, in the same order on every daemon. */
  readonly members: readonly string[];
  /** The members that are of other zones. */
  readonly witnesses: readonly string[];
}

const MIN_MEMBERS = 3;
/** More members make each commit dearer and survive no likelier failure. */
const MAX_MEMBERS = 5;

/**
 * The group of a zone: its own daemons by name, then daemons of the next zones
 * until there are three. The number is odd, because a group of an even number
 * survives no more losses than one with a member less, and half of its members
 * could lose their memory without either half being a majority.
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
