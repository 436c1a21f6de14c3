import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import {isServiceKnown} from '../../routing/is_service_known.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import {DispatcherEndpoint} from '../dispatcher/dispatcher_endpoint.js';
import {FencingToken} from '../lease/fencing_token.js';
import {FailoverTiming} from '../node/failover_timing.js';
import type {NodeDirectory} from '../node/node_directory.js';
import {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import {PoolMessage} from '../node/pool_message.js';
import type {DispatcherClaim} from '../node/dispatcher_claim.js';
import type {PoolObserver} from '../pool_observer.js';
import {WorkerRegistry} from '../registry/worker_registry.js';
import type {LeaseSettings} from '../lease/lease_settings.js';
import type {WorkerClient} from '../lease/worker_client.js';
import type {ZonePeers} from './zone_peers.js';

/** Pause after an attempt that did not start a fallback. */
const RETRY_MS = 500;
const PROBE_TIMEOUT_MS = 300;

interface FallbackServiceOptions extends LeaseSettings {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly zonePeers: ZonePeers;
  /** Slowdown of a task outside the rack of its data; default 2. */
  readonly remoteFactor?: number | undefined;
  /** Latest queue configuration known to this node. */
  readonly routing: () => RoutingTable | undefined;
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly observer: PoolObserver;
}

/**
 * Fallback dispatcher of one availability zone while the zone has no contact
 * with a leader of the log. Runs jobs of the zone's entry nodes on its workers.
 *
 * Starts only when all runs that the leader started for the zone's callers have
 * ended and the zone's workers run nothing. Its fencing token is higher than the
 * leader's; once contact is restored, the leader takes the workers back under a
 * higher token.
 */
export class FallbackService {
  private readonly registry = new WorkerRegistry(service =>
    isServiceKnown(this.opts.routing(), service),
  );
  private readonly endpoint: DispatcherEndpoint;
  private leaderSeenAt = Number.NEGATIVE_INFINITY;
  private isProbing = false;
  private nextProbe = 0;
  /** Term of the last leader that was sent the reports of the zone's workers. */
  private reportedTerm = -1;
  /** Rank of this node among the fallbacks of its zone. */
  private rank = 0;

  constructor(private readonly opts: FallbackServiceOptions) {
    const {peers} = opts;
    this.endpoint = new DispatcherEndpoint(opts);
    peers.onMessage('pool.book', (_from, body, now) =>
      this.onRegistryUpdate(body, now),
    );
  }

  get isDispatching(): boolean {
    return this.endpoint.dispatcher !== undefined;
  }

  /** Claim to dispatch for the other entry nodes of the zone, while active. */
  claim(now: number): DispatcherClaim | undefined {
    const {directory, node} = this.opts;
    const {dispatcher} = this.endpoint;
    const {lastLeader} = directory.claims;
    if (!dispatcher || !lastLeader) return undefined;
    return {
      node,
      term: lastLeader.term,
      token: dispatcher.token,
      isFallback: true,
      zone: this.opts.zone,
      revision: this.revision,
      version: this.opts.evacuated?.version,
      statedAt: now,
      heardAt: now,
    };
  }

  /**
   * Whether the workers and a recent enough configuration are known. The leader
   * may have acknowledged an evacuation of this zone that raised only the
   * version. In an evacuated zone a fallback could start nothing.
   */
  get canFallBack(): boolean {
    const {directory, zone, evacuated} = this.opts;
    const {claims} = directory;
    if (!claims.lastLeader || this.registry.entries.size === 0) return false;
    if ((evacuated?.version ?? 0) < claims.version) return false;
    return this.revision >= claims.revision && !evacuated?.has(zone);
  }

  tick(now: number): void {
    this.opts.evacuated?.tick(now);
    const claim = this.currentClaim(now);
    if (claim && !claim.isFallback) {
      // The time of the last message, not of this tick, counts as last contact.
      this.leaderSeenAt = claim.heardAt;
      this.sendReports(this.opts.directory.claims.lastLeader ?? claim);
      // Only the leader sends the list of workers.
      if (this.opts.directory.claims.leader(now)) this.registry.expire(now);
      this.stop('lead_found');
    } else if (this.endpoint.dispatcher) {
      this.stopIfSuperseded(now);
    } else if (this.mayStart(now)) void this.tryStart();
    this.endpoint.tick(now);
  }

  /** Claim of the dispatcher of this zone. */
  private currentClaim(now: number): DispatcherClaim | undefined {
    const {directory, zone} = this.opts;
    return directory.claims.dispatcherOf(zone, now);
  }

  /**
   * Sends the zone's worker reports to a leader that may lack them: a new one, or
   * one that has forgotten them while the zone was cut off.
   */
  private sendReports({node, term}: DispatcherClaim): void {
    if (term === this.reportedTerm) return;
    this.reportedTerm = term;
    const {reports} = this.registry;
    if (reports.length === 0) return;
    this.opts.peers.send(node, 'pool.book', {reports, isWhole: false});
  }

  private get revision(): number {
    return this.opts.routing()?.content.revision ?? -1;
  }

  private stopIfSuperseded(now: number): void {
    const {zonePeers} = this.opts;
    if (zonePeers.haveLeaderContact(now)) this.stop('lead_elsewhere');
    else if (this.endpoint.dispatcher!.isOutranked) {
      // Another dispatcher has taken over these workers.
      this.leaderSeenAt = now;
      this.stop('outranked');
    }
  }

  private stop(reason: string): void {
    if (!this.endpoint.dispatcher) return;
    this.opts.observer.recordStateChange('fallback_ended', {
      zone: this.opts.zone,
      reason,
      open: this.endpoint.dispatcher.openJobs,
    });
    this.endpoint.close();
    this.reportedTerm = -1;
  }

  private mayStart(now: number): boolean {
    const {zonePeers, node} = this.opts;
    return (
      !this.isProbing &&
      now >= this.nextProbe &&
      now - this.leaderSeenAt >= FailoverTiming.RUNS_ENDED_MS &&
      this.currentClaim(now) === undefined &&
      this.canFallBack &&
      !zonePeers.haveLeaderContact(now) &&
      zonePeers.hasPriority(node, now)
    );
  }

  private async tryStart(): Promise<void> {
    const {clock, observer, zone} = this.opts;
    this.isProbing = true;
    const state = await this.probe();
    this.isProbing = false;
    const now = clock.now();
    this.nextProbe = now + RETRY_MS;
    if (state !== 'unused') {
      observer.recordStateChange('fallback_held_back', {zone, workers: state});
    } else if (this.mayStillStart(now)) this.start(now);
  }

  /** Whether the conditions still hold after the workers were polled. */
  private mayStillStart(now: number): boolean {
    this.nextProbe = now;
    return this.mayStart(now);
  }

  /**
   * Polls the zone's workers with a token that they already accept. Active runs
   * or a higher token mean that another dispatcher still uses them.
   */
  private async probe(): Promise<'unused' | 'in_use' | 'unreachable'> {
    const {client, directory} = this.opts;
    const workers = this.registry.reports.filter(({service}) =>
      isServiceKnown(this.opts.routing(), service),
    );
    const order = {
      token: directory.claims.highestToken,
      acknowledged: 0,
      waitMs: 0,
    };
    const replies = await Promise.all(
      workers.map(({id, address}) =>
        client.poll({id, address}, order, PROBE_TIMEOUT_MS),
      ),
    );
    const answered = replies.filter(r => r.kind === 'ok');
    const isInUse =
      replies.some(r => r.kind === 'refused' && r.reason === 'fenced') ||
      answered.some(r => r.look.running.length > 0);
    if (isInUse) return 'in_use';
    return answered.length * 2 > workers.length ? 'unused' : 'unreachable';
  }

  private start(now: number): void {
    const {directory, observer, zone} = this.opts;
    const {highestToken} = directory.claims;
    const token = FencingToken.nextOfFallback(highestToken, this.rank);
    // Without contact to a leader, a change that was acknowledged may be missing.
    const isConfigCurrent = () => false;
    const dispatcher = new PoolDispatcher({
      ...this.opts,
      isConfigCurrent,
      registry: this.registry,
      token,
      isRegistryComplete: true,
      // The leases of the leader have already expired.
      earlierLeasesMs: 0,
      maySendOrders: at => {
        const claim = this.currentClaim(at);
        return claim === undefined || claim.isFallback;
      },
      mayHaveRun: id => this.endpoint.mayHaveRun(id),
      answer: (owner, id, answer) => this.endpoint.answer(owner, id, answer),
      reportLosses: (owner, id, losses) =>
        this.endpoint.reportLosses(owner, id, losses),
    });
    this.endpoint.attach(dispatcher, isConfigCurrent);
    directory.claims.record(this.claim(now)!);
    observer.recordStateChange('fallback_begun', {
      zone,
      token,
      workers: this.registry.entries.size,
      revision: this.revision,
      silent_ms: Math.round(now - this.leaderSeenAt),
    });
  }

  private onRegistryUpdate(body: unknown, now: number): void {
    if (this.isDispatching || !v.is(PoolMessage.book, body)) return;
    const {reports, isWhole, rank = this.rank} = body;
    this.rank = rank;
    for (const report of reports) {
      if (report.zone === this.opts.zone) this.registry.update(report, now);
    }
    if (isWhole) this.registry.retain(new Set(reports.map(r => r.id)));
  }
}
