import * as v from 'valibot';
import type {PeerTransport} from '../../peer/peer_transport.js';
import type {RandomSource} from '../../random/random_source.js';
import type {LogMember} from '../log/log_member.js';
import type {LogMemberId} from '../log/log_member_id.js';
import {applyUpdate} from './apply_update.js';
import {ConfigUpdate} from './config_update.js';
import type {ReplicatedConfigSource} from './replicated_config_source.js';

/** Within 5 s after a cut heals, a poll has gone out and been answered. */
const POLL_INTERVAL_MS = 2_000;
/** The log itself brings new versions to a member that hears its leader. */
const MEMBER_POLL_INTERVAL_MS = 6_000;
/** Spreads the polls of many nodes; the sum of both stays under 2.5 s. */
const POLL_JITTER_MS = 200;
/** Interval while nothing is in force yet, or a request seeks the leader. */
const URGENT_POLL_INTERVAL_MS = 250;
/** A leader that left this many polls unanswered is no longer asked. */
const MAX_UNANSWERED_POLLS = 2;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const Poll = v.object({
  log: v.optional(v.string()),
  /** Version in force at the sender. */
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
  /** Every daemon that is known. */
  readonly nodes: () => readonly string[];
  readonly peers: PeerTransport;
  readonly random: RandomSource;
  readonly source: ReplicatedConfigSource;
  /** This daemon's part in the log; undefined without a data folder. */
  readonly member: () => LogMember | undefined;
}

/**
 * Spreads accepted versions: the leader pushes differences to the daemons that
 * do not store the log, and every daemon polls the leader with its version
 * number, which heals lost pushes and tells the leader what is in force where.
 */
export class ConfigDistributor {
  /** Version in force and data folder of each node, as its polls tell. */
  readonly pollReports = new Map<
    string,
    {version: number; storage: string | undefined; at: number}
  >();
  private leaderHint: string | undefined;
  private unansweredPolls = 0;
  private lastPollAt = Number.NEGATIVE_INFINITY;
  private pollIntervalMs = POLL_INTERVAL_MS;
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

  /** The node to bring requests to; undefined while no leader is known. */
  get leader(): string | undefined {
    return this.opts.member()?.leaderId ?? this.leaderHint;
  }

  /** Where a node keeps its log, as its polls tell. */
  findMemberId(node: string): LogMemberId | undefined {
    const {member, node: self} = this.opts;
    if (node === self) return member()?.id;
    const storage = this.pollReports.get(node)?.storage;
    return storage === undefined ? undefined : {node, storage};
  }

  /** Data folders of the other nodes, with the time of their last poll. */
  nodesWithStorage(): Array<LogMemberId & {readonly at: number}> {
    return [...this.pollReports].flatMap(([node, {storage, at}]) =>
      storage === undefined ? [] : [{node, storage, at}],
    );
  }

  /** Notes what another node says; it may wrongly name this one. */
  noteLeader(node: string | undefined): void {
    this.leaderHint = node === this.opts.node ? undefined : node;
    this.unansweredPolls = 0;
  }

  /** Polls when it is time; sooner if a request waits for a leader. */
  tick(now: number, needsLeader: boolean): void {
    const {random, nodes, node, member, source} = this.opts;
    const isUrgent = needsLeader || source.current().version === 0;
    const waited = now - this.lastPollAt;
    if (waited < (isUrgent ? URGENT_POLL_INTERVAL_MS : this.pollIntervalMs))
      return;
    this.lastPollAt = now;
    const base = member()?.leaderId
      ? MEMBER_POLL_INTERVAL_MS
      : POLL_INTERVAL_MS;
    this.pollIntervalMs = base + random.next() * POLL_JITTER_MS;
    if (member()?.leader) return;
    this.unansweredPolls += 1;
    if (this.unansweredPolls > MAX_UNANSWERED_POLLS)
      this.leaderHint = undefined;
    const others = nodes().filter(id => id !== node);
    const any = others[Math.floor(random.next() * others.length)];
    const target =
      this.unansweredPolls > MAX_UNANSWERED_POLLS ? any : this.leader;
    this.poll(target ?? any);
  }

  /** Pushes what the log has newly accepted; called on the leader. */
  push(member: LogMember): void {
    const state = member.state;
    const log = member.store.persistentState.log;
    if (!state || log === undefined) return;
    const {version} = state.current;
    const base = this.pushedVersion;
    if (version <= base) return;
    this.pushedVersion = version;
    const update = this.updateFor(base);
    const {voters, learners} = member.store.members;
    const stores = new Set([...voters, ...learners].map(m => m.node));
    for (const id of this.opts.nodes()) {
      if (id === this.opts.node || stores.has(id)) continue;
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
    const isOneLog = log === undefined || log === source.log;
    const isNewer = source.current().version > version;
    const {leader} = this;
    peers.send(from, 'config.poll_reply', {
      ...(leader === undefined ? {} : {leader}),
      ...(isOneLog && isNewer ? {update: this.updateFor(version)} : {}),
    });
  }

  private onReply(from: string, body: unknown): void {
    const parsed = v.safeParse(PollReply, body);
    if (!parsed.success) return;
    const {leader, update} = parsed.output;
    this.noteLeader(leader);
    if (update) this.receiveUpdate(from, update);
  }

  private onPush(from: string, body: unknown): void {
    const parsed = v.safeParse(ConfigUpdate, body);
    if (!parsed.success) return;
    this.noteLeader(from);
    this.receiveUpdate(from, parsed.output);
  }

  private receiveUpdate(from: string, update: ConfigUpdate): void {
    const {source} = this.opts;
    const config = source.current();
    if (update.version <= config.version) return;
    if (source.log !== undefined && source.log !== update.log) return;
    const next = applyUpdate(config, update);
    if (next) source.applyIfNewer(update.log, next);
    else this.poll(from);
  }

  /** An update for a daemon at `version`. */
  private updateFor(version: number): ConfigUpdate {
    const {source, member} = this.opts;
    const state = member()?.state;
    const config = source.current();
    const log = source.log ?? member()?.store.persistentState.log ?? '';
    const isNewest = state && state.current.version >= config.version;
    const newest = isNewest ? state.current : config;
    const diff = isNewest && version > 0 ? state.diffSince(version) : undefined;
    const document = isNewest ? state.documentSince(version) : undefined;
    return diff
      ? {
          kind: 'diff',
          log,
          version: newest.version,
          base: version,
          diff,
          ...(document ? {document} : {}),
        }
      : {kind: 'whole', log, ...newest};
  }
}
