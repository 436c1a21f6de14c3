import {Result} from 'true-myth';
import * as v from 'valibot';
import type {PeerTransport} from '../peer/peer_transport.js';
import type {RandomSource} from '../random/random_source.js';
import type {Config} from './config.js';
import {ConfigOrigin} from './config_origin.js';
import {AppliedConfigFile} from './follower/applied_config_file.js';
import {ConfigDistributor} from './follower/config_distributor.js';
import {ReplicatedConfigSource} from './follower/replicated_config_source.js';
import {LogBootstrapper} from './log/log_bootstrapper.js';
import {LogMember} from './log/log_member.js';
import {LogMessage} from './log/log_message.js';
import type {LogTiming} from './log/log_timing.js';
import {VoterReconciler} from './log/voter_reconciler.js';
import type {LogRequest} from './router/log_request.js';
import type {LogResponse} from './router/log_response.js';
import {OrderSubmitter} from './router/order_submitter.js';
import type {LogStatus} from './router/log_status.js';
import {RequestRouter} from './router/request_router.js';
import type {Disk} from './storage/disk.js';
import type {DiskError} from './storage/disk_error.js';
import {LogStore} from './storage/log_store.js';
import type {ChangeOutcome} from './state/change_outcome.js';
import type {ChangeRefusal} from './state/change_refusal.js';

/** Time after a disk failure at which the data folder is reopened. */
const REOPEN_MS = 10_000;
const MESSAGE_TYPES = LogMessage.options.map(o => o.entries.type.literal);

interface ConfigNodeOptions {
  readonly node: string;
  /** Ids of all known nodes. */
  readonly nodes: () => readonly string[];
  /** Initial voters of a new deployment. */
  readonly voters: readonly string[];
  /** Whether this process may create a new log. Default true. */
  readonly mayForm?: boolean;
  /** Default `LogTiming`. */
  readonly timing?: LogTiming;
  /** Data folder; absent on nodes that do not store the log. */
  readonly disk?: Disk;
  /** Initial configuration of a new deployment. */
  readonly initial: Config;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  /**
   * Number of voters to maintain automatically, chosen from the nodes with a
   * data folder. Default: members change only on an operator's request.
   */
  readonly voterTarget?: number | undefined;
  /** Availability zone of a node, for spreading voters. Default: unknown. */
  readonly zoneOf?: ((node: string) => string | undefined) | undefined;
  /**
   * When a presence message of a node was last received here, for replacing voters that
   * are lost. Default: only what the log's leader hears counts.
   */
  readonly heardAt?: ((node: string) => number) | undefined;
  /** Entries after which a snapshot replaces the log. Default 256. */
  readonly snapshotEntries?: number | undefined;
  readonly onDiskError: (error: DiskError) => void;
}

/**
 * Replicated configuration on one node: the log member if the node has a data
 * folder, the configuration in force, and forwarding of requests to the leader.
 */
export class ConfigNode {
  readonly source: ReplicatedConfigSource;
  private readonly distributor: ConfigDistributor;
  private readonly router: RequestRouter;
  private readonly orders: OrderSubmitter;
  private readonly bootstrapper: LogBootstrapper;
  private readonly voterReconciler: VoterReconciler | undefined;
  private member: LogMember | undefined;
  private reopenAt: number | undefined;

  constructor(private readonly opts: ConfigNodeOptions) {
    const {disk, peers, node} = opts;
    this.source = new ReplicatedConfigSource(
      disk && new AppliedConfigFile(disk),
    );
    const member = () => this.member;
    this.distributor = new ConfigDistributor({
      ...opts,
      source: this.source,
      member,
    });
    const followedLog = () => this.source.log;
    this.bootstrapper = new LogBootstrapper({...opts, member, followedLog});
    if (opts.voterTarget !== undefined) {
      this.voterReconciler = new VoterReconciler({
        voterTarget: opts.voterTarget,
        nodesWithStorage: () => this.distributor.nodesWithStorage(),
        zoneOf: opts.zoneOf ?? (() => undefined),
        heardAt: opts.heardAt,
      });
    }
    this.router = new RequestRouter({
      node,
      peers,
      random: opts.random,
      getLeader: () => this.distributor.leader,
      noteLeader: id => this.distributor.noteLeader(id),
      serve: (req, now, respond) => this.serve(req, now, respond),
    });
    this.orders = new OrderSubmitter(this.router, opts.random);
    for (const type of MESSAGE_TYPES) {
      peers.onMessage(`config.${type}`, (from, body, now) => {
        const parsed = v.safeParse(LogMessage, {...(body as object), type});
        if (parsed.success) this.member?.receive(from, parsed.output, now);
      });
    }
  }

  /**
   * Opens the data folder; the error describes what the operator must repair.
   */
  open(now: number): Result<void, string> {
    const loaded = this.source.load();
    return loaded.isErr ? loaded : this.openLog(now);
  }

  /** Runs without a vote until the data folder can be opened. */
  openLater(now: number): void {
    this.reopenAt = now + REOPEN_MS;
  }

  /** Node id of the log's leader, if known to this node. */
  get leader(): string | undefined {
    return this.distributor.leader;
  }

  get logMember(): LogMember | undefined {
    return this.member;
  }

  /** Runs everything that is due; called about every 100 ms. */
  tick(now: number): void {
    if (this.reopenAt !== undefined && now >= this.reopenAt) {
      this.reopenAt = now + REOPEN_MS;
      if (this.openLog(now).isOk) this.reopenAt = undefined;
    }
    this.bootstrapper.tick(now);
    this.member?.tick(now);
    if (this.member) this.voterReconciler?.tick(this.member, now);
    this.distributor.tick(now, this.router.isWaitingForLeader);
    this.router.tick(now);
  }

  /** Forwards a request to the log's leader. */
  submit: RequestRouter['submit'] = (request, now, done) =>
    this.router.submit(request, now, done);

  /** Starts or ends the evacuation of a zone. */
  evacuate: OrderSubmitter['submit'] = (request, now, done, isWanted) =>
    this.orders.submit(request, now, done, isWanted);

  /** Transfers leadership to another voter before a planned stop. */
  transferLeadership(now: number): void {
    this.member?.leader?.transferLeadership(now);
  }

  status(now: number): LogStatus {
    const {member, distributor} = this;
    const {node} = this.opts;
    const {leader} = distributor;
    const reports = [...distributor.pollReports]
      .filter(([id]) => id !== node)
      .map(([id, r]) => ({
        node: id,
        version: r.version,
        age_ms: Math.max(0, Math.round(now - r.at)),
      }));
    const {version} = this.source.current();
    return {
      node,
      role: member?.role ?? 'none',
      term: member?.term ?? 0,
      ...(leader === undefined ? {} : {leader}),
      commit_index: member?.commitIndex ?? 0,
      members: member?.store.members ?? {voters: [], learners: []},
      in_force: [{node, version, age_ms: 0}, ...reports],
    };
  }

  private openLog(now: number): Result<void, string> {
    const {disk, node, peers, random, snapshotEntries, timing} = this.opts;
    if (!disk) return Result.ok(undefined);
    const opened = LogStore.open(
      disk,
      LogBootstrapper.newId(random),
      (error, at) => this.onStoreFailed(error, at),
    );
    return opened.map(store => {
      this.member = new LogMember(
        {
          node,
          store,
          peers,
          random,
          snapshotEntries,
          timing,
          onApplied: (_state, at) => this.onApplied(at),
        },
        now,
      );
    });
  }

  private onStoreFailed(error: DiskError, now: number): void {
    this.member?.stepDown(now);
    this.reopenAt = now + REOPEN_MS;
    this.opts.onDiskError(error);
  }

  private onApplied(now: number): void {
    const {member} = this;
    const state = member?.state;
    const log = member?.store.voteState.log;
    if (!member || !state || log === undefined) return;
    this.source.applyIfNewer(log, state.current, ConfigOrigin.log);
    if (member.leader) this.distributor.push(member, now);
  }

  /**
   * Acknowledges a change when the nodes outside the log have it: if all core nodes
   * are lost with the acknowledgement, entry nodes serve with what they have.
   */
  private respondWhenDistributed(
    decision: Decision | undefined,
    respond: (response: LogResponse) => void,
  ): void {
    const response = toResponse(decision);
    if (response.kind !== 'accepted') return respond(response);
    this.distributor.whenDistributed(response.version, () => respond(response));
  }

  private serve(
    request: LogRequest,
    now: number,
    respond: (response: LogResponse) => void,
  ): void {
    const {member} = this;
    const leader = member?.leader;
    if (!member || !leader || !leader.isAcceptingProposals(now)) {
      const id = this.distributor.leader;
      const other = id === this.opts.node ? undefined : id;
      respond({kind: 'not_leader', ...(other ? {leader: other} : {})});
      return;
    }
    switch (request.kind) {
      case 'change': {
        const body = {kind: 'change', change: request.change} as const;
        leader.propose(body, now, decision =>
          this.respondWhenDistributed(decision, respond),
        );
        return;
      }
      case 'publish':
      case 'evacuation':
        if (this.voterReconciler?.hasEnoughVoters(member, now) === false) {
          respond({kind: 'not_leader'});
          return;
        }
        leader.propose(request, now, decision =>
          this.respondWhenDistributed(decision, respond),
        );
        return;
      case 'members':
        leader.membership.request(
          request.request,
          node => this.distributor.findMemberId(node),
          now,
          refusal =>
            respond(
              refusal ? {kind: 'refused', refusal} : {kind: 'members_done'},
            ),
        );
        return;
      case 'read':
        leader.confirmLeadership(now, isCurrent => {
          const {state} = member;
          if (!isCurrent || !state) return respond({kind: 'not_leader'});
          const {current: config, lastOrder} = state;
          respond({kind: 'config', config, lastOrder});
        });
        return;
      case 'status':
        respond({kind: 'status', status: this.status(now)});
        return;
    }
  }
}

type Decision = Result<ChangeOutcome, ChangeRefusal>;

/** Response to a proposal; undefined if its outcome is unknown. */
function toResponse(decision: Decision | undefined): LogResponse {
  if (!decision) return {kind: 'unknown'};
  return decision.isOk
    ? {kind: 'accepted', version: decision.value.version}
    : {kind: 'refused', refusal: decision.error};
}
