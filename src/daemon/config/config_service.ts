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
import type {ChangeOutcome} from '../../core/config/state/change_outcome.js';
import type {ChangeRefusal} from '../../core/config/state/change_refusal.js';
import {ConfigChange} from '../../core/config/state/config_change.js';
import type {PublishedDocument} from '../../core/config/published_document.js';
import {StaticConfigSource} from '../../core/config/static_config_source.js';
import type {PeerTransport} from '../../core/peer/peer_transport.js';
import type {RandomSource} from '../../core/random/random_source.js';
import {Service} from '../supervisor/service.js';

const TICK_MS = 100;
/** A transfer of the lead at a planned stop is not awaited for longer. */
const HANDOVER_MS = 1_500;

const INITIAL: Config = {
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
  /** Further nodes, where the settings do not name all. */
  readonly discovered?: () => readonly string[];
  /** Whether this start may form a new log. Default true. */
  readonly mayForm?: boolean;
  /** Number of voters to keep. Default: the operator changes the members. */
  readonly voterTarget?: number;
  /** Availability zone of a node, to spread the voters. Default: unknown. */
  readonly zoneOf?: (node: string) => string | undefined;
  /** Default `LogTiming`. */
  readonly timing?: LogTiming;
  /** Default 100 ms. */
  readonly tickMs?: number;
  readonly dataDir: string | undefined;
  /** Whether to lock the data folder. Default true. */
  readonly locksDataDir?: boolean;
  readonly clock: Clock;
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly log: ConsolaInstance;
}

/**
 * The configuration for the rest of the daemon. Without any voter in the
 * settings it is fixed, and changes are refused.
 */
export class ConfigService extends Service {
  override readonly name = 'config';
  readonly source: ConfigSource;
  private readonly node: ConfigNode | undefined;
  private readonly disk: FolderDisk | undefined;
  private isStopped = false;

  constructor(private readonly opts: ConfigServiceOptions) {
    super();
    const {nodes, dataDir, clock, log} = opts;
    const voters = nodes.filter(n => n.voter).map(n => n.id);
    if (voters.length === 0) {
      this.source = new StaticConfigSource(INITIAL);
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
      initial: INITIAL,
      onDiskError: error =>
        log.error('data folder failed; this node does not vote', {...error}),
    });
    this.source = this.node.source;
  }

  /** Leader of the log as far as this daemon knows. */
  get leader(): string | undefined {
    return this.node?.leader;
  }

  /** This node's lead of the log; undefined if it does not lead. */
  getLeadership(now: number):
    | {
        readonly term: number;
        readonly confirmedAt: number;
        readonly isSettled: boolean;
        readonly silentMs: number;
      }
    | undefined {
    const log = this.node?.logMember;
    const leader = log?.leader;
    if (!log || !leader) return undefined;
    const {hasCommittedInTerm: isSettled, msWithoutLeader: silentMs} = leader;
    const confirmedAt = leader.leadershipConfirmedAt(now);
    return {term: log.term, confirmedAt, isSettled, silentMs};
  }

  /** The newest state that this node knows to be committed. */
  get committed(): Config | undefined {
    return this.node?.logMember?.state?.current;
  }

  /** Rejects if the data folder is missing, in use, damaged or too new. */
  override async start(): Promise<void> {
    const {node, nodes, dataDir, clock} = this.opts;
    if (!this.node) return;
    const isVoter = nodes.some(n => n.id === node && n.voter);
    if (isVoter && dataDir === undefined) {
      throw new Error(`nodes: "${node}" is a voter and needs data_dir`);
    }
    const locked = this.disk?.open();
    if (locked?.isErr) throw new Error(locked.error);
    const opened = this.node.open(clock.now());
    if (opened.isErr) {
      await this.disk?.close();
      throw new Error(`data_dir: ${dataDir}: ${opened.error}`);
    }
    this.tick();
  }

  /** Hands over the lead of the log, and closes the data folder. */
  override async stop(): Promise<void> {
    const {clock} = this.opts;
    const deadline = clock.now() + HANDOVER_MS;
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
   * Changes the configuration, from any daemon. The body is a `ConfigChange`;
   * one that is resent under its key gets its first outcome.
   */
  async change(body: unknown): Promise<Result<ChangeOutcome, ChangeRefusal>> {
    const parsed = v.safeParse(ConfigChange, body);
    if (!parsed.success) return Result.err(invalid(parsed.issues));
    const res = await this.ask({kind: 'change', change: parsed.output});
    if ('code' in res) return Result.err(res);
    return res.kind === 'accepted'
      ? Result.ok({version: res.version})
      : Result.err(refusalOf(res));
  }

  /** Publishes an operator's document, from any daemon. */
  async publish(
    document: PublishedDocument,
  ): Promise<Result<ChangeOutcome, ChangeRefusal>> {
    const res = await this.ask({kind: 'publish', document});
    if ('code' in res) return Result.err(res);
    return res.kind === 'accepted'
      ? Result.ok({version: res.version})
      : Result.err(refusalOf(res));
  }

  /**
   * The newest configuration. `isCurrent` is false when no leader confirmed it;
   * it is then the one in force at this daemon.
   */
  async read(): Promise<{
    readonly config: Config;
    readonly isCurrent: boolean;
  }> {
    const res = await this.ask({kind: 'read'});
    return 'kind' in res && res.kind === 'config'
      ? {config: res.config, isCurrent: true}
      : {config: this.source.current(), isCurrent: !this.node};
  }

  /** The log as its leader sees it, or as this daemon does without a leader. */
  async status(): Promise<LogStatus> {
    const {clock, node} = this.opts;
    const res = await this.ask({kind: 'status'});
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

  /** Changes the members of the log; the body is a `MembershipRequest`. */
  async changeMembers(body: unknown): Promise<Result<void, ChangeRefusal>> {
    const parsed = v.safeParse(MembershipRequest, body);
    if (!parsed.success) return Result.err(invalid(parsed.issues));
    const res = await this.ask({kind: 'members', request: parsed.output});
    if ('code' in res) return Result.err(res);
    return res.kind === 'members_done'
      ? Result.ok(undefined)
      : Result.err(refusalOf(res));
  }

  private ask(request: LogRequest): Promise<LogResponse | ChangeRefusal> {
    const {node} = this;
    if (!node) {
      return Promise.resolve({
        code: 'unavailable',
        outcome: 'not_made',
        detail: 'the configuration is fixed: the settings name no voter',
      });
    }
    return new Promise(resolve =>
      node.submit(request, this.opts.clock.now(), resolve),
    );
  }

  private tick(): void {
    if (this.isStopped) return;
    this.node?.tick(this.opts.clock.now());
    const {clock, tickMs = TICK_MS} = this.opts;
    clock.schedule(tickMs, () => this.tick());
  }
}

function invalid(
  issues: readonly [v.BaseIssue<unknown>, ...v.BaseIssue<unknown>[]],
): ChangeRefusal {
  const [issue] = issues;
  const detail = `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`;
  return {code: 'invalid', outcome: 'not_made', detail};
}

function refusalOf(res: LogResponse): ChangeRefusal {
  if (res.kind === 'refused') return res.refusal as ChangeRefusal;
  return {
    code: 'unavailable',
    outcome: 'outcome_unknown',
    detail: `the leader gave an answer of another kind: ${res.kind}`,
  };
}
