import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {EvacuatedZones} from '../../routing/evacuated_zones.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import {DispatcherEndpoint} from '../dispatcher/dispatcher_endpoint.js';
import {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import {FencingToken} from '../lease/fencing_token.js';
import {CapacityLending} from '../lending/capacity_lending.js';
import type {RoomOffers} from '../lending/room_offers.js';
import {Room} from '../lending/room.js';
import type {LeaseSettings} from '../lease/lease_settings.js';
import type {WorkerClient} from '../lease/worker_client.js';
import {DEFAULT_REMOTE_FACTOR} from '../placement/default_remote_factor.js';
import type {PoolObserver} from '../pool_observer.js';
import {WorkerLists} from '../registry/worker_lists.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import {RelayChooser} from '../relay/relay_chooser.js';
import {RelayedWorkerClient} from '../relay/relayed_worker_client.js';
import type {DispatcherClaim} from './dispatcher_claim.js';
import type {NodeDirectory} from './node_directory.js';

interface CoreDispatchingOptions extends LeaseSettings {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
  /** Offers of the holders of other zones. */
  readonly offers: RoomOffers;
  readonly reportAddress: string;
  /** Sends the claim of the dispatcher to a node. */
  readonly sendClaim: (node: string) => void;
  readonly routing: () => RoutingTable | undefined;
  /** Slowdown of a task outside the rack of its data; default 2. */
  readonly remoteFactor?: number | undefined;
  /** Default: no zone is ever evacuated. */
  readonly evacuated?: EvacuatedZones | undefined;
  readonly observer: PoolObserver;
}

/** What a dispatcher of this node serves. */
interface Scope {
  readonly term: number;
  /** Granted zone; undefined stands for the zones of the leader. */
  readonly zone: string | undefined;
  /** Zones that the leader does not dispatch. */
  readonly excluded: ReadonlySet<string>;
}

interface OpenOptions extends Scope {
  readonly token: number;
  /** Token of the dispatcher that had a granted zone before, if known. */
  readonly earlierToken: number | undefined;
  readonly earlierLeasesMs: number;
  readonly maySendOrders: (now: number) => boolean;
  readonly isConfigCurrent: (now: number) => boolean;
}

/**
 * The dispatcher of a core node, while it has one: for a zone that was granted to
 * it, or for the zones that the leader has granted to nobody.
 */
export class CoreDispatching {
  private readonly endpoint: DispatcherEndpoint;
  private readonly relayChooser: RelayChooser;
  private readonly client: WorkerClient;
  private readonly lending: CapacityLending;
  private scope: Scope | undefined;
  private firstToken = 0;
  private readonly lists: WorkerLists;
  /** Highest token that was found in each zone since the dispatcher was opened. */
  private readonly foundTokens = new Map<string, number>();
  /** Tokens that the dispatcher has used. */
  private readonly ownTokens = new Set<number>();
  /** Zones of all workers that the dispatcher has had. */
  private readonly servedZones = new Set<string>();
  /**
   * The zone of the first workers, if they are of one zone and the leader grants
   * others. The claim names it, so no worker of another zone is taken afterwards.
   */
  private soleZone: string | undefined;

  constructor(private readonly opts: CoreDispatchingOptions) {
    const {clock, directory, client: direct, peers} = opts;
    this.lists = new WorkerLists({
      ...opts,
      currentToken: () => this.token,
      onConfirmed: now => this.tick(now),
    });
    this.endpoint = new DispatcherEndpoint({
      ...opts,
      redirectAgain: (owner, id) =>
        this.lending.redirectAgain(owner, id, clock.now()),
    });
    this.lending = new CapacityLending({
      ...opts,
      remoteFactor: opts.remoteFactor ?? DEFAULT_REMOTE_FACTOR,
      // An older entry node would ignore the redirect.
      canRedirect: owner => directory.isZoned(owner),
      redirect: (owner, id, to) => this.endpoint.redirect(owner, id, to),
    });
    this.relayChooser = new RelayChooser(directory, clock);
    this.client = new RelayedWorkerClient({
      peers,
      clock,
      directory,
      direct,
      chooser: this.relayChooser,
    });
  }

  get isOpen(): boolean {
    return this.scope !== undefined;
  }

  /** Zone granted to this node that it dispatches. */
  get heldZone(): string | undefined {
    return this.scope?.zone;
  }

  /** Current token; 0 without a dispatcher. */
  get token(): number {
    return this.endpoint.dispatcher?.token ?? 0;
  }

  get openJobs(): number {
    return this.endpoint.dispatcher?.openJobs ?? 0;
  }

  /** Whether a worker has accepted a higher token. */
  get isOutranked(): boolean {
    return this.endpoint.dispatcher?.isOutranked ?? false;
  }

  /** Entry nodes that have jobs here. */
  get owners(): ReadonlySet<string> {
    return this.endpoint.owners;
  }

  /** Whether the dispatcher is the leader's, of this term and these zones. */
  isLeading(term: number, excluded: ReadonlySet<string>): boolean {
    const {scope} = this;
    if (scope?.term !== term || scope.zone !== undefined) return false;
    return (
      scope.excluded.size === excluded.size &&
      [...excluded].every(zone => scope.excluded.has(zone)) &&
      !this.omitsWorkers(scope)
    );
  }

  /** Whether the dispatcher is the leader's, of this term. */
  isLeadingTerm(term: number): boolean {
    return this.scope?.term === term && this.scope.zone === undefined;
  }

  /** What a holder offers to each of the others. */
  room(now: number): Room {
    return this.endpoint.dispatcher?.room(now) ?? Room.NONE;
  }

  /** The claim that other nodes receive; undefined without a dispatcher. */
  claim(now: number): DispatcherClaim | undefined {
    const {scope, opts, firstToken, soleZone} = this;
    const {node, reportAddress, routing} = opts;
    if (!scope) return undefined;
    const {term, zone} = scope;
    const isFirst = firstToken === FencingToken.ofTerm(term);
    return {
      node,
      term,
      token: this.token,
      isFallback: false,
      ...(zone === undefined ? {} : {zone}),
      ...(isFirst || zone !== undefined ? {} : {firstToken}),
      ...(soleZone === undefined ? {} : {soleZone}),
      reportAddress,
      revision: routing()?.content.revision ?? 0,
      version: opts.evacuated?.version,
      statedAt: now,
      heardAt: now,
    };
  }

  /** Replaces the dispatcher; runs of an earlier one continue and are adopted. */
  open(options: OpenOptions): void {
    this.close();
    const {term, zone, excluded, token, maySendOrders} = options;
    const scope = {term, zone, excluded};
    this.scope = scope;
    this.firstToken = token;
    this.foundTokens.clear();
    this.ownTokens.clear();
    this.servedZones.clear();
    this.soleZone = undefined;
    const known = this.lists.open(options, this.opts.clock.now());
    this.setRelayedWorkers(scope);
    const dispatcher = new PoolDispatcher({
      ...this.opts,
      ...options,
      ...known,
      client: this.client,
      // The leader's dispatcher is one of the last resort and makes no offers.
      lending: zone === undefined ? undefined : this.lending,
      servesZone: each => this.servesZone(scope, each),
      // A closed dispatcher renews no lease.
      maySendOrders: at => this.scope === scope && maySendOrders(at),
      mayHaveRun: id => this.endpoint.mayHaveRun(id),
      onUnclear: ids => this.sendUnclear(ids),
      answer: (owner, id, answer) => this.endpoint.answer(owner, id, answer),
      reportLosses: (owner, id, losses) =>
        this.endpoint.reportLosses(owner, id, losses),
    });
    this.endpoint.attach(dispatcher, options.isConfigCurrent);
  }

  /** Stops dispatching without stopping any run. */
  close(): void {
    this.lists.close(this.opts.clock.now());
    this.endpoint.close();
    this.scope = undefined;
  }

  tick(now: number): void {
    this.lists.tick(now);
    if (!this.scope) return;
    this.setRelayedWorkers(this.scope);
    this.lists.runPass(() => this.endpoint.tick(now), now);
  }

  /** Lets no dispatcher wait for this node, which will not succeed it. */
  releaseCopies(): void {
    this.lists.releaseCopies();
  }

  /**
   * Raises the token above those of fallbacks in the zones of the leader, whose
   * workers have to accept it before they are used again.
   */
  raiseToken(): void {
    const {opts, scope} = this;
    const {claims} = opts.directory;
    const {dispatcher} = this.endpoint;
    if (!dispatcher || !scope || scope.zone !== undefined) return;
    const contested = new Set<string>();
    let token = dispatcher.token;
    for (const [zone, found] of claims.zoneTokens) {
      const known = this.foundTokens.get(zone) ?? this.firstToken;
      if (!covers(scope, zone) || found <= known) continue;
      this.foundTokens.set(zone, found);
      // Entry nodes also state the token that they know from the leader.
      if (this.ownTokens.has(found)) continue;
      contested.add(zone);
      // A raise for another zone may have been high enough already.
      const next = FencingToken.nextOfCore(claims.highestToken);
      if (found > dispatcher.token) token = next;
    }
    if (contested.size === 0) return;
    dispatcher.raiseToken(token, contested);
    this.ownTokens.add(token);
    claims.recordToken(dispatcher.token);
    opts.observer.recordStateChange('token_raised', {
      term: scope.term,
      token: dispatcher.token,
      zones: [...contested],
    });
  }

  /** Tells the other core nodes, whose entry nodes the callers may try next. */
  private sendUnclear(ids: readonly string[]): void {
    const {directory, clock, node, peers} = this.opts;
    for (const id of directory.coreIds(clock.now())) {
      if (id !== node) peers.send(id, 'pool.unclear', {ids});
    }
  }

  private servesZone(scope: Scope, zone: string): boolean {
    return covers(scope, zone) && zone === (this.soleZone ?? zone);
  }

  /** Whether a worker is left out whose zone the scope covers. */
  private omitsWorkers(scope: Scope): boolean {
    if (this.soleZone === undefined) return false;
    return this.opts.registry.reports.some(
      ({zone}) => covers(scope, zone) && !this.servesZone(scope, zone),
    );
  }

  private setRelayedWorkers(scope: Scope): void {
    const {reports} = this.opts.registry;
    const served = reports.filter(({zone}) => this.servesZone(scope, zone));
    for (const {zone} of served) this.servedZones.add(zone);
    // A leader that grants no zones does not need to name one.
    if (scope.excluded.size > 0 && this.servedZones.size === 1) {
      [this.soleZone] = this.servedZones;
    }
    const mayLeaveZone = scope.zone === undefined;
    this.relayChooser.setWorkers(served, {mayLeaveZone});
  }
}

function covers(scope: Scope, zone: string): boolean {
  return scope.zone === undefined
    ? !scope.excluded.has(zone)
    : scope.zone === zone;
}
