import type {NodeDirectory} from '../node/node_directory.js';
import type {ZoneGrant} from './zone_grant.js';

/** Why a holder closes its dispatcher. */
type Loss = 'higher_token' | 'outranked';

interface GrantedZoneOptions {
  readonly node: string;
  readonly zone: string;
  readonly directory: NodeDirectory;
  /** Start time of this process. */
  readonly startedAt: number;
}

/** Decides on a core node whether it may dispatch for its zone. */
export class GrantedZone {
  /** Highest token under which this process has opened a dispatcher. */
  private usedToken = -1;

  constructor(private readonly opts: GrantedZoneOptions) {}

  /** Returns a grant for this node that has not been used. */
  find(now: number): (ZoneGrant & {readonly term: number}) | undefined {
    const {directory, node, zone, startedAt} = this.opts;
    const leader = directory.claims.leader(now);
    if (!leader) return undefined;
    const grant = leader.grants?.find(g => g.zone === zone && g.node === node);
    if (grant?.startedAt !== startedAt) return undefined;
    if (grant.token <= this.usedToken) return undefined;
    const isHighest = grant.token >= directory.claims.tokenOf(zone);
    return isHighest ? {...grant, term: leader.term} : undefined;
  }

  recordOpened(token: number): void {
    this.usedToken = Math.max(token, this.usedToken);
  }

  /** Whether no higher token is known for the zone. */
  isHighest(token: number): boolean {
    const {directory, zone} = this.opts;
    return directory.claims.tokenOf(zone) <= token;
  }

  /** Why the holder must close; it needs no contact with a leader. */
  findLoss(token: number, isOutranked: boolean): Loss | undefined {
    if (!this.isHighest(token)) return 'higher_token';
    return isOutranked ? 'outranked' : undefined;
  }
}
