import * as v from 'valibot';
import type {Clock} from '../../clock/clock.js';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RoutingTable} from '../../routing/routing_table.js';
import {FencingToken} from '../lease/fencing_token.js';
import {DispatcherEndpoint} from '../dispatcher/dispatcher_endpoint.js';
import type {NodeDirectory} from './node_directory.js';
import {PoolDispatcher} from '../dispatcher/pool_dispatcher.js';
import {PoolMessage} from './pool_message.js';
import type {PoolObserver} from '../pool_observer.js';
import {WorkerRegistry} from '../registry/worker_registry.js';
import {WorkerRegistrySender} from '../registry/worker_registry_sender.js';
import {StartReplicator} from '../outcome/start_replicator.js';
import {RelayChooser} from '../relay/relay_chooser.js';
import {RelayedWorkerClient} from '../relay/relayed_worker_client.js';
import {WorkerRelay} from '../relay/worker_relay.js';
import type {WorkerClient} from '../lease/worker_client.js';
import {WorkerReportService} from '../registry/worker_report_service.js';

/** A leader that no majority has confirmed for this long sends no orders. */
const CONFIRMATION_MAX_AGE_MS = 250;
const LEADER_PRESENCE_MS = 200;
const PRESENCE_MS = 1_000;
/**
 * Interval at which a node that does not lead informs entry nodes, and at which
 * the leader names the other nodes to them; below the retention of a node.
 */
const ENTRY_GOSSIP_MS = 2_500;
/** Interval of presence messages while no dispatcher is known. */
const DISCOVERY_MS = 150;
/** Age up to which a full copy of the registry counts as complete. */
const REGISTRY_MAX_AGE_MS = 5_000;
/**
 * Time after the last contact with a leader within which no fallback can have
 * started. After it, leases of a fallback may be active, about which the voters
 * of the log know nothing.
 */
const FALLBACK_EARLIEST_MS = 1_500;

interface Leadership {
  readonly term: number;
  /** When a majority last confirmed the leadership. */
  readonly confirmedAt: number;
  /** Whether all entries of earlier terms are committed. */
  readonly isSettled: boolean;
  /** Time before the term in which no other node can have led, in ms. */
  readonly silentMs: number;
}

interface LeaderServiceOptions {
  readonly node: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly client: WorkerClient;
  readonly directory: NodeDirectory;
  readonly leaseMs: number;
  /** Address to which workers send their reports. */
  readonly reportAddress: string;
  /** Leadership of the replicated log; undefined if another node leads. */
  readonly leadership: (now: number) => Leadership | undefined;
  readonly routing: () => RoutingTable | undefined;
  readonly observer: PoolObserver;
}

/**
 * Dispatches on a core node while the node leads the log. On the other core
 * nodes, keeps a copy of the worker registry for a later takeover.
 */
export class LeaderService {
  private readonly registry = new WorkerRegistry();
  private readonly registrySender: WorkerRegistrySender;
  /** Reports of workers, which any core node takes. */
  readonly reports: WorkerReportService;
  private readonly endpoint: DispatcherEndpoint;
  private readonly starts: StartReplicator;
  private readonly relayChooser: RelayChooser;
  private readonly client: WorkerClient;
  private term = 0;
  private nextPresence = 0;
  private nextEntryGossip = 0;
  private isClosed = false;
  private fullSnapshotAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly opts: LeaderServiceOptions) {
    const {peers} = opts;
    this.endpoint = new DispatcherEndpoint(opts);
    const {clock, directory, client: direct} = opts;
    new WorkerRelay(peers, direct);
    this.relayChooser = new RelayChooser(directory, clock);
    this.client = new RelayedWorkerClient({
      peers,
      direct,
      chooser: this.relayChooser,
    });
    this.starts = new StartReplicator({...opts, registry: this.registry});
    this.registrySender = new WorkerRegistrySender({
      ...opts,
      registry: this.registry,
    });
    peers.onMessage('pool.presence', (from, body, now) =>
      this.onPresence(from, body, now),
    );
    peers.onMessage('pool.book', (_from, body, now) =>
      this.onRegistryUpdate(body, now),
    );
    this.reports = new WorkerReportService({
      ...opts,
      registry: this.registry,
      registrySender: this.registrySender,
      dispatcher: () => this.endpoint.dispatcher,
    });
  }

  get isLeading(): boolean {
    return this.endpoint.dispatcher !== undefined;
  }

  get openJobs(): number {
    return this.endpoint.dispatcher?.openJobs ?? 0;
  }

  tick(now: number): void {
    this.updateLeadership(now);
    this.registry.expire(now);
    this.raiseToken();
    if (this.isLeading) this.relayChooser.setWorkers(this.registry.reports);
    this.endpoint.tick(now);
    this.starts.tick(this.endpoint.dispatcher, now);
    if (now >= this.nextPresence) this.sendPresence(now);
    this.reports.tick(now);
    if (this.isLeading) this.registrySender.tick(now);
  }

  /** Stops dispatching and relaying before a planned shutdown. */
  close(): void {
    this.isClosed = true;
    this.endpoint.close();
    this.sendPresence(this.opts.clock.now());
  }

  private updateLeadership(now: number): void {
    const {routing, observer, leadership} = this.opts;
    const state = leadership(now);
    const isSame = state?.isSettled && state.term === this.term;
    if (this.isLeading && !isSame) {
      observer.recordStateChange('lead_lost', {term: this.term});
      this.endpoint.close();
      this.makePresenceDue(now);
    }
    if (!state?.isSettled || this.isLeading) return;
    this.term = state.term;
    const isRegistryComplete = now - this.fullSnapshotAt < REGISTRY_MAX_AGE_MS;
    observer.recordStateChange('lead_won', {
      term: state.term,
      workers: this.registry.entries.size,
      is_book_complete: isRegistryComplete,
      confirmed_ms_ago: Math.round(now - state.confirmedAt),
      silent_ms: Math.round(state.silentMs),
      revision: routing()?.content.revision,
    });
    this.endpoint.attach(this.createDispatcher(state, isRegistryComplete));
    this.makePresenceDue(now);
    this.registrySender.makeDue();
  }

  private createDispatcher(
    {term, silentMs}: Leadership,
    isRegistryComplete: boolean,
  ): PoolDispatcher {
    const {leaseMs, leadership} = this.opts;
    const quietMs = silentMs < FALLBACK_EARLIEST_MS ? silentMs : 0;
    return new PoolDispatcher({
      ...this.opts,
      client: this.client,
      registry: this.registry,
      token: FencingToken.ofTerm(term),
      isRegistryComplete,
      recordedUntil: () => this.starts.recordedUntil,
      predecessor: this.starts.predecessor(this.opts.clock.now()),
      // An earlier leader may have granted its last lease when its confirmation
      // became too old.
      earlierLeasesMs: CONFIRMATION_MAX_AGE_MS + leaseMs - quietMs,
      maySendOrders: at => {
        const current = leadership(at);
        return (
          current?.term === term &&
          at - current.confirmedAt < CONFIRMATION_MAX_AGE_MS
        );
      },
      answer: (owner, id, answer) => this.endpoint.answer(owner, id, answer),
      reportLosses: (owner, id, losses) =>
        this.endpoint.reportLosses(owner, id, losses),
    });
  }

  /** Raises the token above that of a fallback that has taken over workers. */
  private raiseToken(): void {
    const {directory, observer} = this.opts;
    const {dispatcher} = this.endpoint;
    const {highestToken} = directory;
    if (!dispatcher || highestToken <= dispatcher.token) return;
    dispatcher.raiseToken(highestToken + 1);
    directory.recordToken(dispatcher.token);
    observer.recordStateChange('token_raised', {
      term: this.term,
      token: dispatcher.token,
    });
  }

  private onPresence(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PoolMessage.presence, body);
    if (!parsed.success) return;
    const {directory} = this.opts;
    const {
      role,
      zone,
      cores,
      entries,
      highestToken,
      lead: claim,
    } = parsed.output;
    const isNew = directory.recordSeen(from, role, now, zone);
    directory.recordGossip(cores, 'core', now);
    directory.recordGossip(entries, 'entry', now);
    directory.recordToken(highestToken);
    directory.setRelay(from, parsed.output.relays);
    // Informs a new node, and the others of it, without delay.
    if (isNew) this.makePresenceDue(now);
    if (role !== 'core') return;
    if (claim) directory.recordClaim({...claim, node: from, heardAt: now});
    else directory.clearClaim(from);
  }

  private makePresenceDue(now: number): void {
    this.nextPresence = now;
    this.nextEntryGossip = now;
  }

  private sendPresence(now: number): void {
    const {directory, node, zone, peers, reportAddress, routing} = this.opts;
    const {dispatcher} = this.endpoint;
    const isLeaderKnown = directory.dispatcher(now) !== undefined;
    const idleMs = isLeaderKnown ? PRESENCE_MS : DISCOVERY_MS;
    this.nextPresence = now + (dispatcher ? LEADER_PRESENCE_MS : idleMs);
    const claim = dispatcher && {
      term: this.term,
      token: dispatcher.token,
      isFallback: false,
      reportAddress,
      revision: routing()?.content.revision ?? 0,
    };
    if (claim) directory.recordClaim({...claim, node, heardAt: now});
    const body = {
      role: 'core',
      zone,
      highestToken: directory.highestToken,
      relays: !this.isClosed,
      ...(claim ? {lead: claim} : {}),
    };
    const cores = directory.seenIds('core', now);
    const entries = directory.seenIds('entry', now);
    for (const id of directory.coreIds(now)) {
      if (id === node) continue;
      peers.send(id, 'pool.presence', {...body, cores, entries});
    }
    const isGossipDue = now >= this.nextEntryGossip || !isLeaderKnown;
    if (isGossipDue) this.nextEntryGossip = now + ENTRY_GOSSIP_MS;
    else if (!claim) return;
    const byZone = isGossipDue ? directory.groupByZone(entries) : undefined;
    for (const id of directory.entryIds(now)) {
      // An entry node needs only the entry nodes of its own zone.
      const zonePeers = byZone?.get(directory.zoneOf(id));
      peers.send(id, 'pool.presence', {
        ...body,
        cores: isGossipDue ? cores : [],
        ...(zonePeers ? {entries: zonePeers} : {}),
      });
    }
  }

  private onRegistryUpdate(body: unknown, now: number): void {
    if (!v.is(PoolMessage.book, body)) return;
    for (const report of body.reports) this.registry.update(report, now);
    if (body.isWhole && !this.isLeading) this.fullSnapshotAt = now;
  }
}
