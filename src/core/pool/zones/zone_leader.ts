import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import type {NodeDirectory} from '../node/node_directory.js';
import type {PoolObserver} from '../pool_observer.js';
import {FencingToken} from '../lease/fencing_token.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import {viewZones} from './view_zones.js';
import type {ZoneGrant} from './zone_grant.js';
import {ZoneGrants} from './zone_grants.js';

/** A leader that no majority has confirmed for this long changes no grants. */
const CONFIRMATION_MAX_AGE_MS = 250;

interface ZoneLeaderOptions {
  readonly node: string;
  readonly zone: string;
  readonly term: number;
  /** Present token of this node's dispatcher; 0 if it has none. */
  readonly currentToken: () => number;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly observer: PoolObserver;
}

/** The grants of the zones during one term in which this node leads. */
export class ZoneLeader {
  readonly term: number;
  private readonly zones: ZoneGrants;
  private listed: readonly ZoneGrant[] = [];
  private withheld: readonly string[] = [];
  private isDecided = false;

  constructor(private readonly opts: ZoneLeaderOptions) {
    this.term = opts.term;
    const nextToken = () => this.nextToken();
    this.zones = new ZoneGrants({...opts, nextToken});
  }

  /** Whether the zones that the leader dispatches itself are known. */
  get isReady(): boolean {
    return this.isDecided;
  }

  get grants(): readonly ZoneGrant[] {
    return this.listed;
  }

  /** Zones that are neither granted nor dispatched by the leader. */
  get unserved(): readonly string[] {
    return this.withheld;
  }

  /** Zones that the leader does not dispatch itself. */
  get excluded(): ReadonlySet<string> {
    return new Set([...this.listed.map(g => g.zone), ...this.withheld]);
  }

  /** Returns a token above all known ones, at least the term's first. */
  nextToken(): number {
    const {claims} = this.opts.directory;
    const first = FencingToken.ofTerm(this.term);
    const next = FencingToken.nextOfCore(claims.highestToken);
    const token = Math.max(first, next);
    claims.recordToken(token);
    return token;
  }

  /** Updates the grants; returns whether they have changed. */
  update(confirmedAt: number, now: number): boolean {
    if (now - confirmedAt >= CONFIRMATION_MAX_AGE_MS) return false;
    const {directory, observer} = this.opts;
    this.isDecided = true;
    const obstacle = this.findObstacle(now);
    const changes = obstacle
      ? this.zones.withdrawAll(obstacle)
      : this.zones.update(viewZones(this.opts, now), now);
    for (const {event, grant, reason} of changes) {
      observer.recordStateChange(event, {
        reason,
        granted_zone: grant.zone,
        holder: grant.node,
        token: grant.token,
      });
      directory.claims.recordZoneToken(grant.zone, grant.token);
    }
    const unserved = this.zones.unserved(now);
    const isSame = unserved.join() === this.withheld.join();
    this.withheld = unserved;
    this.listed = this.zones.all;
    return changes.length > 0 || !isSame;
  }

  /** Why no zone may be granted; undefined if zones may. */
  private findObstacle(now: number): string | undefined {
    if (!this.knowAllNodesGrants(now)) return 'older_node';
    const evacuated = this.opts.evacuated?.all.size ?? 0;
    // The callers of an evacuated zone need the room of all other zones. Holders
    // lend only what they have to spare and would refuse many of these jobs.
    return evacuated > 0 ? 'evacuation' : undefined;
  }

  /** Whether no older process is left, which would ignore the grants. */
  private knowAllNodesGrants(now: number): boolean {
    const {directory, node} = this.opts;
    return (['core', 'entry'] as const).every(role =>
      directory
        .seenIds(role, now)
        .every(id => id === node || directory.isZoned(id)),
    );
  }
}
