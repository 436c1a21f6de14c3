import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {LogMember} from '../log/log_member.js';
import type {LogMemberId} from '../log/log_member_id.js';
import {ConfigOrigin} from '../config_origin.js';
import {applyUpdate} from './apply_update.js';
import {ConfigUpdate} from './config_update.js';
import type {ReplicatedConfigSource} from './replicated_config_source.js';

/** Interval that gets a poll answered within 5 s after a partition heals. */
const POLL_MS = 2_000;
/**
 * Interval for members in contact with a leader: the log brings new versions.
 */
const MEMBER_POLL_MS = 6_000;
/**
 * Spreads the polls of many nodes over time. Added to `POLL_MS`, must stay
 * below 2.5 s.
 */
const POLL_JITTER_MS = 200;
/** Interval while there is no configuration yet or a request needs a leader. */
const URGENT_POLL_MS = 250;
/** After more unanswered polls than this, a random node is polled instead. */
const MAX_UNANSWERED = 2;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Poll = v.object({
  log: v.optional(v.string()),
  /** Version in force on the sender. */
  version: count,
  /** Storage id of the sender's data folder, if it has one. */
  storage: v.optional(v.string()),
});
const PollReply = v.object({
  leader: v.optional(v.string()),
  update: v.optional(ConfigUpdate),
});

interface ConfigDistributorOptions {
  readonly node: string;
  /** Ids of all known nodes. */
  readonly nodes: () => readonly string[];
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly source: ReplicatedConfigSource;
  /** Log member of this node; undefined without a data folder. */
  readonly member: () => LogMember | undefined;
}

/**
 * Distributes accepted versions to all nodes. The leader pushes diffs to nodes
 * that do not store the log. In addition every node polls the leader with its
 * version, which repairs lost pushes and reports to the leader which version is
 * in force on each node.
 */
export class ConfigDistributor {
  /** Version in force, storage id and time of the last poll, by node. */
  readonly pollReports = new Map<
    string,
    {version: number; storage: string | undefined; at: number}
  >();
  private leaderHint: string | undefined;
  private unansweredPolls = 0;
  private lastPollAt = Number.NEGATIVE_INFINITY;
  private intervalMs = POLL_MS;
  private pushedVersion = 0;

  constructor(private readonly opts: ConfigDistributorOptions) {
    const {peers} = opts;
    peers.onMessage('config.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('config.poll_reply', (from, body) =>
      this.onReply(from, body),
    );
    peers.onMessage('config.push', (from, body) => this.onPush(from, body));
  }

  /** Node to send requests to; undefined while no leader is known. */
  get leader(): string | undefined {
    return this.opts.member()?.leaderId ?? this.leaderHint;
  }

  /** Member id of a node, from its last poll; undefined without a folder. */
  findMemberId(node: string): LogMemberId | undefined {
    const {member, node: self} = this.opts;
    if (node === self) return member()?.id;
    const storage = this.pollReports.get(node)?.storage;
    return storage === undefined ? undefined : {node, storage};
  }

  /** Other nodes with a data folder, with the time of their last poll. */
  nodesWithStorage(): Array<LogMemberId & {readonly at: number}> {
    return [...this.pollReports].flatMap(([node, {storage, at}]) =>
      storage === undefined ? [] : [{node, storage, at}],
    );
  }

  /**
   * Stores the leader named by another node. Ignores this node's own id, as the
   * other node may have outdated information.
   */
  noteLeader(node: string | undefined): void {
    this.leaderHint = node === this.opts.node ? undefined : node;
    this.unansweredPolls = 0;
  }

  /** Polls if due; at shorter intervals if a pending request needs a leader. */
  tick(now: number, needsLeader: boolean): void {
    const {random, nodes, node, member, source} = this.opts;
    const isUrgent = needsLeader || source.current().version === 0;
    const waited = now - this.lastPollAt;
    if (waited < (isUrgent ? URGENT_POLL_MS : this.intervalMs)) return;
    this.lastPollAt = now;
    const base = member()?.leaderId ? MEMBER_POLL_MS : POLL_MS;
    this.intervalMs = base + random.next() * POLL_JITTER_MS;
    if (member()?.leader) return;
    this.unansweredPolls += 1;
    if (this.unansweredPolls > MAX_UNANSWERED) this.leaderHint = undefined;
    const others = nodes().filter(id => id !== node);
    const randomNode = others[Math.floor(random.next() * others.length)];
    const target =
      this.unansweredPolls > MAX_UNANSWERED ? randomNode : this.leader;
    this.poll(target ?? randomNode);
  }

  /** Pushes newly applied versions to non-members; called on the leader. */
  push(member: LogMember): void {
    const state = member.state;
    const log = member.store.voteState.log;
    if (!state || log === undefined) return;
    const {version} = state.current;
    const base = this.pushedVersion;
    if (version <= base) return;
    this.pushedVersion = version;
    const update = this.updateFor(base);
    const {voters, learners} = member.store.members;
    const memberNodes = new Set([...voters, ...learners].map(m => m.node));
    for (const id of this.opts.nodes()) {
      if (id === this.opts.node || memberNodes.has(id)) continue;
      this.opts.peers.send(id, 'config.push', update);
    }
  }

  private poll(target: string | undefined): void {
    if (target === undefined) return;
    const {source, member, peers} = this.opts;
    const storage = member()?.id.storage;
    peers.send(target, 'config.poll', {
      version: source.current().version,
      ...(source.log === undefined ? {} : {log: source.log}),
      ...(storage === undefined ? {} : {storage}),
    });
  }

  private onPoll(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(Poll, body);
    if (!parsed.success) return;
    const {log, version, storage} = parsed.output;
    const {source, member, peers} = this.opts;
    this.pollReports.set(from, {version, storage, at: now});
    if (storage !== undefined) {
      member()?.leader?.membership.onStorageReported(
        {node: from, storage},
        now,
      );
    }
    const isSameLog = log === undefined || log === source.log;
    const isNewer = source.current().version > version;
    const {leader} = this;
    peers.send(from, 'config.poll_reply', {
      ...(leader === undefined ? {} : {leader}),
      ...(isSameLog && isNewer ? {update: this.updateFor(version)} : {}),
    });
  }

  private onReply(from: string, body: unknown): void {
    const parsed = v.safeParse(PollReply, body);
    if (!parsed.success) return;
    const {leader, update} = parsed.output;
    this.noteLeader(leader);
    if (update) this.receiveUpdate(from, update, ConfigOrigin.poll);
  }

  private onPush(from: string, body: unknown): void {
    const parsed = v.safeParse(ConfigUpdate, body);
    if (!parsed.success) return;
    this.noteLeader(from);
    this.receiveUpdate(from, parsed.output, ConfigOrigin.push);
  }

  private receiveUpdate(
    from: string,
    update: ConfigUpdate,
    origin: ConfigOrigin,
  ): void {
    const {source} = this.opts;
    const config = source.current();
    if (update.version <= config.version) return;
    if (source.log !== undefined && source.log !== update.log) return;
    const next = applyUpdate(config, update);
    if (next) source.applyIfNewer(update.log, next, origin);
    else this.poll(from);
  }

  /** Creates an update for a node at `version`: a diff if possible. */
  private updateFor(version: number): ConfigUpdate {
    const {source, member} = this.opts;
    const state = member()?.state;
    const config = source.current();
    const log = source.log ?? member()?.store.voteState.log ?? '';
    const isNewest = state && state.current.version >= config.version;
    const newest = isNewest ? state.current : config;
    const diff = isNewest && version > 0 ? state.diffSince(version) : undefined;
    const document = isNewest ? state.documentSince(version) : undefined;
    const evacuated = isNewest ? state.evacuatedSince(version) : undefined;
    return diff
      ? {
          kind: 'diff',
          log,
          version: newest.version,
          base: version,
          diff,
          ...(document ? {document} : {}),
          ...(evacuated ? {evacuated} : {}),
        }
      : {kind: 'whole', log, ...newest};
  }
}
