import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {LogMember} from '../log/log_member.js';
import type {LogMemberId} from '../log/log_member_id.js';
import {ConfigOrigin} from '../config_origin.js';
import {applyUpdate} from './apply_update.js';
import {ConfigPusher} from './config_pusher.js';
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
/** Interval after an unanswered poll, which goes to another node next time. */
const RETRY_POLL_MS = 500;
/** After more unanswered polls than this, the leader counts as unknown. */
const MAX_UNANSWERED = 2;

/**
 * A leader that this node has not heard itself for longer is not named to others.
 * Without this limit, nodes without contact would name a lost leader to each other
 * for ever. Exceeds the interval of polls.
 */
const MAX_HINT_AGE_MS = 3_000;

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
/** Newest version of a leader that does not know which one the receiver has. */
const Announcement = v.object({log: v.string(), version: count});
/** Confirms that a version is in force at the sender. */
const PushReply = v.object({version: count});

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
 * that do not store the log, until they confirm them. In addition every node
 * polls the leader with its version, which helps nodes that the leader does not
 * know and reports to the leader which version is in force on each node.
 */
export class ConfigDistributor {
  /** Version in force, storage id and time of the last poll, by node. */
  readonly pollReports = new Map<
    string,
    {version: number; storage: string | undefined; at: number}
  >();
  private readonly pusher: ConfigPusher;
  private leaderHint: string | undefined;
  /** When this node last heard the hinted leader itself. */
  private hintHeardAt = Number.NEGATIVE_INFINITY;
  /** Nodes that were polled since the last reply. */
  private readonly unanswered = new Set<string>();
  private lastPollAt = Number.NEGATIVE_INFINITY;
  private jitterMs = 0;
  /** Versions that are to be confirmed to the nodes that sent them. */
  private readonly unconfirmed = new Map<string, number>();

  constructor(private readonly opts: ConfigDistributorOptions) {
    const {peers} = opts;
    peers.onMessage('config.poll', (from, body, now) =>
      this.onPoll(from, body, now),
    );
    peers.onMessage('config.poll_reply', (from, body, now) =>
      this.onReply(from, body, now),
    );
    peers.onMessage('config.push', (from, body, now) =>
      this.onPush(from, body, now),
    );
    peers.onMessage('config.announce', (from, body, now) =>
      this.onAnnouncement(from, body, now),
    );
    peers.onMessage('config.push_reply', (from, body, now) => {
      if (!v.is(PushReply, body)) return;
      this.pusher.onConfirmed(from, body.version, now);
    });
    this.pusher = new ConfigPusher({
      ...opts,
      updateFor: version => this.updateFor(version),
      announce: node => {
        const {log, version} = this.updateFor(0);
        peers.send(node, 'config.announce', {log, version});
      },
    });
    opts.source.onChange(() => this.confirm());
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
    const hint = node === this.opts.node ? undefined : node;
    if (hint !== this.leaderHint) this.hintHeardAt = Number.NEGATIVE_INFINITY;
    this.leaderHint = hint;
    this.unanswered.clear();
  }

  /** Polls if due; at shorter intervals if a pending request needs a leader. */
  tick(now: number, needsLeader: boolean): void {
    const {random, member} = this.opts;
    const self = member();
    if (self) this.pusher.tick(self, now);
    if (now - this.lastPollAt < this.pollIntervalMs(needsLeader)) return;
    this.lastPollAt = now;
    this.jitterMs = random.next() * POLL_JITTER_MS;
    if (self?.leader) return;
    const target = this.pickPolledNode();
    if (target === undefined) return;
    this.unanswered.add(target);
    this.poll(target);
  }

  /** Pushes a newly applied version; called on the leader. */
  push(member: LogMember, now: number): void {
    this.pusher.push(member, now);
  }

  /**
   * Calls `done` once a version that is being applied is in force at all nodes that
   * can be reached, or after a short time; called on the leader.
   */
  whenDistributed(version: number, done: () => void): void {
    this.pusher.whenConfirmed(version, done);
  }

  private pollIntervalMs(needsLeader: boolean): number {
    const {member, source} = this.opts;
    if (needsLeader || source.current().version === 0) return URGENT_POLL_MS;
    if (this.unanswered.size > 0) return RETRY_POLL_MS;
    return (member()?.leaderId ? MEMBER_POLL_MS : POLL_MS) + this.jitterMs;
  }

  /** The leader, or a random node if the last polls were not answered. */
  private pickPolledNode(): string | undefined {
    const {nodes, node, random} = this.opts;
    const {leader, unanswered} = this;
    if (leader !== undefined && !unanswered.has(leader)) return leader;
    const others = nodes().filter(id => id !== node);
    const areAllTried = others.every(id => unanswered.has(id));
    if (unanswered.size > MAX_UNANSWERED || areAllTried) {
      this.leaderHint = undefined;
    }
    if (areAllTried) unanswered.clear();
    const untried = others.filter(id => !unanswered.has(id));
    return untried[Math.floor(random.next() * untried.length)];
  }

  private poll(target: string): void {
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
    this.pusher.onConfirmed(from, version, now);
    if (storage !== undefined) {
      member()?.leader?.membership.onStorageReported(
        {node: from, storage},
        now,
      );
    }
    const isSameLog = log === undefined || log === source.log;
    const isNewer = source.current().version > version;
    const leader = this.leaderFor(now);
    peers.send(from, 'config.poll_reply', {
      ...(leader === undefined ? {} : {leader}),
      ...(isSameLog && isNewer ? {update: this.updateFor(version)} : {}),
    });
  }

  /** Leader that this node names to others. */
  private leaderFor(now: number): string | undefined {
    const {member} = this.opts;
    const isHeard = now - this.hintHeardAt < MAX_HINT_AGE_MS;
    return member()?.leaderId ?? (isHeard ? this.leaderHint : undefined);
  }

  private onReply(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(PollReply, body);
    if (!parsed.success) return;
    const {leader, update} = parsed.output;
    this.noteLeader(leader);
    if (leader === from) this.hintHeardAt = now;
    if (update) this.receiveUpdate(from, update, ConfigOrigin.poll);
  }

  private onPush(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(ConfigUpdate, body);
    if (!parsed.success) return;
    this.onLeaderHeard(from, now);
    const {log, version} = parsed.output;
    this.receiveUpdate(from, parsed.output, ConfigOrigin.push);
    if (this.opts.source.log !== log) return;
    this.unconfirmed.set(from, version);
    this.confirm();
  }

  private onAnnouncement(from: string, body: unknown, now: number): void {
    const parsed = v.safeParse(Announcement, body);
    if (!parsed.success) return;
    this.onLeaderHeard(from, now);
    const {log, version} = parsed.output;
    const {source} = this.opts;
    if (source.log !== undefined && source.log !== log) return;
    this.unconfirmed.set(from, version);
    if (source.current().version < version) this.poll(from);
    else this.confirm();
  }

  private onLeaderHeard(leader: string, now: number): void {
    this.noteLeader(leader);
    this.hintHeardAt = now;
  }

  /** Confirms pushed versions once they are in force here. */
  private confirm(): void {
    const {version} = this.opts.source.current();
    for (const [node, pushed] of this.unconfirmed) {
      if (version < pushed) continue;
      this.unconfirmed.delete(node);
      this.opts.peers.send(node, 'config.push_reply', {version});
    }
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
