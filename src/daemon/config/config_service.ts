import type {ConsolaInstance} from 'consola';
import {Result} from 'true-myth';
import * as v from 'valibot';
import {FolderDisk} from '../../adapter/disk/folder_disk.js';
import type {Clock} from '../../core/clock/clock.js';
import type {Config} from '../../core/config/config.js';
import {ConfigNode} from '../../core/config/config_node.js';
import type {ConfigSource} from '../../core/config/config_source.js';
import type {LogTiming} from '../../core/config/log/log_timing.js';
import {MembershipRequest} from '../../core/config/log/membership_request.js';
import type {LogRequest} from '../../core/config/router/log_request.js';
import type {LogResponse} from '../../core/config/router/log_response.js';
import type {LogStatus} from '../../core/config/router/log_status.js';
import type {EvacuationOrder} from '../../core/config/state/evacuation_order.js';
import type {ChangeOutcome} from '../../core/config/state/change_outcome.js';
import type {ChangeRefusal} from '../../core/config/state/change_refusal.js';
import {ConfigChange} from '../../core/config/state/config_change.js';
import type {PublishedDocument} from '../../core/config/published_document.js';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import type {RandomSource} from '../../core/random/random_source.js';
import {Service} from '../supervisor/service.js';
import {MembershipLog} from './membership_log.js';

const TICK_MS = 100;
/** Longest wait at a graceful stop for a leadership transfer to complete. */
const TRANSFER_WAIT_MS = 1_500;

/** Configuration of a new deployment, and of one without voters. */
const INITIAL_CONFIG: Config = {
  version: 1,
  classes: {
    default: {
      name: 'default',
      target_ms: 2_000,
      percentile: 99,
      repeatable: false,
      memory_mb: 0,
      accelerators: 0,
    },
  },
  tenants: {},
};

interface ConfigServiceOptions {
  readonly node: string;
  readonly nodes: ReadonlyArray<{
    readonly id: string;
    readonly voter: boolean;
  }>;
  /** Returns nodes that are not in `nodes`. Default: none. */
  readonly discovered?: () => readonly string[];
  /** Whether this node may create a new log. Default true. */
  readonly mayForm?: boolean;
  /**
   * Number of voters that the leader maintains. Default: only operators change
   * the voters.
   */
  readonly voterTarget?: number;
  /**
   * Returns the availability zone of a node, over which voters are spread.
   * Default: unknown.
   */
  readonly zoneOf?: (node: string) => string | undefined;
  /** When a presence message of a node was last received. Default: not known. */
  readonly heardAt?: (node: string) => number;
  /** Timing of the log. Default `LogTiming`. */
  readonly timing?: LogTiming;
  /** Interval of ticks. Default 100 ms. */
  readonly tickMs?: number;
  /** Data folder; undefined on a node without a disk. */
  readonly dataDir: string | undefined;
  /** Whether to lock the data folder. Default true. */
  readonly locksDataDir?: boolean;
  /**
   * Whether the node starts without a vote if its data folder cannot be read, and
   * tries to open it again later. Default false: `start` rejects.
   */
  readonly startsWithoutDisk?: boolean;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly log: ConsolaInstance;
}

/**
 * Provides the replicated configuration to the rest of the process. If no node in
 * the settings is a voter, the configuration is fixed and changes are refused.
 */
export class ConfigService extends Service {
  override readonly name = 'config';
  readonly source: ConfigSource;
  private readonly node: ConfigNode | undefined;
  private readonly disk: FolderDisk | undefined;
  private isStopped = false;
  private readonly membershipLog: MembershipLog;

  constructor(private readonly opts: ConfigServiceOptions) {
    super();
    const {nodes, dataDir, clock, log} = opts;
    this.membershipLog = new MembershipLog(log);
    const voters = nodes.filter(n => n.voter).map(n => n.id);
    if (voters.length === 0) {
      this.source = new StaticConfigSource(INITIAL_CONFIG);
      return;
    }
    if (dataDir !== undefined) {
      const takesLock = opts.locksDataDir ?? true;
      this.disk = new FolderDisk(dataDir, clock, {takesLock});
    }
    this.node = new ConfigNode({
      ...opts,
      nodes: () => [...nodes.map(n => n.id), ...(opts.discovered?.() ?? [])],
      voters,
      ...(this.disk ? {disk: this.disk} : {}),
      initial: INITIAL_CONFIG,
      onDiskError: error =>
        log.error('data folder failed; this node does not vote', {
          ...error,
        }),
    });
    this.source = this.node.source;
  }

  /** Last known leader of the log. */
  get leader(): string | undefined {
    return this.node?.leader;
  }

  /** State of this node's leadership; undefined if it is not the leader. */
  getLeadership(now: number):
    | {
        readonly term: number;
        /**
         * Time of the last heartbeat round that a majority has answered, in ms.
         */
        readonly confirmedAt: number;
        /** Whether an entry of this term is committed, and so all before it. */
        readonly isSettled: boolean;
        /** Time before this term in which no other node can have led, in ms. */
        readonly silentMs: number;
      }
    | undefined {
    const log = this.node?.logMember;
    const leader = log?.leader;
    if (!log || !leader) return undefined;
    const {hasCommittedInTerm, msWithoutLeader} = leader;
    const confirmedAt = leader.leadershipConfirmedAt(now);
    return {
      term: log.term,
      confirmedAt,
      isSettled: hasCommittedInTerm,
      silentMs: msWithoutLeader,
    };
  }

  /**
   * Newest configuration that this node has: the committed one, the one that the
   * leader has sent to a node outside the log, or after a restart the one that
   * was in force before.
   */
  get newest(): Config {
    const {committed} = this;
    const inForce = this.source.current();
    return committed && committed.version >= inForce.version
      ? committed
      : inForce;
  }

  /** Newest configuration known to be committed; undefined if there is none. */
  get committed(): Config | undefined {
    return this.node?.logMember?.state?.current;
  }

  /**
   * Rejects if the data folder is missing, locked, corrupt or of a newer
   * version, unless the node may start without it.
   */
  override async start(): Promise<void> {
    const {node, nodes, dataDir, clock} = this.opts;
    if (!this.node) return;
    const isVoter = nodes.some(n => n.id === node && n.voter);
    if (isVoter && dataDir === undefined) {
      throw new Error(
        `data_dir: missing; expected a path, as node "${node}" is a voter`,
      );
    }
    const opened = this.openDataDir(clock.now());
    if (opened.isErr) {
      if (!this.opts.startsWithoutDisk) {
        await this.disk?.close();
        throw new Error(opened.error);
      }
      this.opts.log.error('data folder failed; this node does not vote', {
        detail: opened.error,
      });
      this.node.openLater(clock.now());
    }
    this.tick();
  }

  private openDataDir(now: number): Result<void, string> {
    const locked = this.disk?.open();
    if (locked?.isErr) return Result.err(locked.error);
    const {dataDir} = this.opts;
    return this.node!.open(now).mapErr(detail => {
      return `data_dir: ${dataDir}: ${detail}`;
    });
  }

  /** Transfers the leadership of the log and closes the data folder. */
  override async stop(): Promise<void> {
    const {clock} = this.opts;
    const deadline = clock.now() + TRANSFER_WAIT_MS;
    this.node?.transferLeadership(clock.now());
    while (this.node?.logMember?.leader && clock.now() < deadline) {
      await new Promise<void>(resolve => {
        clock.schedule(TICK_MS, resolve);
      });
    }
    this.isStopped = true;
    await this.disk?.close();
  }

  /**
   * Changes the configuration; works on any daemon. The body must be a
   * `ConfigChange`. A retry with the same key returns the first outcome.
   */
  async change(body: unknown): Promise<Result<ChangeOutcome, ChangeRefusal>> {
    const parsed = v.safeParse(ConfigChange, body);
    if (!parsed.success) return Result.err(toInvalidRefusal(parsed.issues));
    const res = await this.submit({kind: 'change', change: parsed.output});
    if ('code' in res) return Result.err(res);
    return res.kind === 'accepted'
      ? Result.ok({version: res.version})
      : Result.err(toRefusal(res));
  }

  /** Publishes an operator's document; works on any daemon. */
  async publish(
    document: PublishedDocument,
  ): Promise<Result<ChangeOutcome, ChangeRefusal>> {
    const res = await this.submit({kind: 'publish', document});
    if ('code' in res) return Result.err(res);
    return res.kind === 'accepted'
      ? Result.ok({version: res.version})
      : Result.err(toRefusal(res));
  }

  /**
   * Starts or ends the evacuation of a zone; works on any daemon. `isWanted`
   * tells whether the caller still waits.
   */
  async evacuate(
    order: Pick<EvacuationOrder, 'zone' | 'isEvacuated'>,
    isWanted?: () => boolean,
  ): Promise<Result<ChangeOutcome, ChangeRefusal>> {
    const {node} = this;
    if (!node) return Result.err(FIXED);
    const res = await new Promise<LogResponse | ChangeRefusal>(resolve =>
      node.evacuate(order, this.opts.clock.now(), resolve, isWanted),
    );
    if ('code' in res) return Result.err(res);
    return res.kind === 'accepted'
      ? Result.ok({version: res.version})
      : Result.err(toRefusal(res));
  }

  /**
   * Returns the newest configuration. If no leader confirms it, `isCurrent` is
   * false and the configuration is the one in force at this daemon.
   */
  async read(): Promise<{
    readonly config: Config;
    readonly isCurrent: boolean;
  }> {
    const res = await this.submit({kind: 'read'});
    return 'kind' in res && res.kind === 'config'
      ? {config: res.config, isCurrent: true}
      : {config: this.source.current(), isCurrent: !this.node};
  }

  /** Returns the leader's status of the log, or without a leader this daemon's. */
  async status(): Promise<LogStatus> {
    const {clock, node} = this.opts;
    const res = await this.submit({kind: 'status'});
    if ('kind' in res && res.kind === 'status') return res.status;
    if (this.node) return this.node.status(clock.now());
    const {version} = this.source.current();
    return {
      node,
      role: 'none',
      term: 0,
      commit_index: 0,
      members: {voters: [], learners: []},
      in_force: [{node, version, age_ms: 0}],
    };
  }

  /** Changes the members of the log. The body must be a `MembershipRequest`. */
  async changeMembers(body: unknown): Promise<Result<void, ChangeRefusal>> {
    const parsed = v.safeParse(MembershipRequest, body);
    if (!parsed.success) return Result.err(toInvalidRefusal(parsed.issues));
    const res = await this.submit({kind: 'members', request: parsed.output});
    if ('code' in res) return Result.err(res);
    return res.kind === 'members_done'
      ? Result.ok(undefined)
      : Result.err(toRefusal(res));
  }

  private submit(request: LogRequest): Promise<LogResponse | ChangeRefusal> {
    const {node} = this;
    if (!node) return Promise.resolve(FIXED);
    return new Promise(resolve =>
      node.submit(request, this.opts.clock.now(), resolve),
    );
  }

  private tick(): void {
    if (this.isStopped) return;
    this.node?.tick(this.opts.clock.now());
    this.membershipLog.record(this.node?.logMember);
    const {clock, tickMs = TICK_MS} = this.opts;
    clock.schedule(tickMs, () => this.tick());
  }
}

const FIXED: ChangeRefusal = {
  code: 'unavailable',
  outcome: 'not_made',
  detail: 'the configuration is fixed: no node in the settings is a voter',
};

function toInvalidRefusal(
  issues: readonly [v.BaseIssue<unknown>, ...v.BaseIssue<unknown>[]],
): ChangeRefusal {
  const [issue] = issues;
  const detail = `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  return {code: 'invalid', outcome: 'not_made', detail};
}

function toRefusal(res: LogResponse): ChangeRefusal {
  if (res.kind === 'refused') return res.refusal as ChangeRefusal;
  return {
    code: 'unavailable',
    outcome: 'outcome_unknown',
    detail: `unexpected kind of reply from the leader: ${res.kind}`,
  };
}
