import type {PeerTransport} from '../../peer/peer_transport.js';
import type {LogLeader} from '../log/log_leader.js';
import type {LogMember} from '../log/log_member.js';
import type {ConfigUpdate} from './config_update.js';

/** First interval after which an update without a confirmation is sent again. */
const RESEND_MS = 200;
/** The interval doubles up to this limit. */
const MAX_RESEND_MS = 1_600;

/**
 * Longest wait for the confirmations of a version. A node that has left an update
 * unanswered for as long is not waited for until it confirms one.
 */
const MAX_WAIT_MS = 300;

/** Election timeouts of silence after which a member gets updates as others do. */
const SILENT_TIMEOUTS = 2;

/** What the leader knows about a node that is no voter. */
interface PushProgress {
  /** Highest version that the node has confirmed; undefined before the first one. */
  confirmed: number | undefined;
  sentAt: number;
  resendMs: number;
  /** When the first update since the last confirmation was sent. */
  unansweredSince: number | undefined;
}

interface Waiter {
  readonly version: number;
  readonly done: () => void;
  deadline: number | undefined;
}

interface ConfigPusherOptions {
  readonly node: string;
  /** Ids of all known nodes. */
  readonly nodes: () => readonly string[];
  readonly peers: PeerTransport;
  /** Announces the newest version to a node; it asks for it unless it has it. */
  readonly announce: (node: string) => void;
  /** Creates an update for a node at `version`. */
  readonly updateFor: (version: number) => ConfigUpdate;
}

/**
 * The leader's side of the distribution to nodes other than voters: sends each
 * version to every node until the node confirms it. Learners of the log are among
 * them, as a change is acknowledged without their part in the log.
 */
export class ConfigPusher {
  private readonly progress = new Map<string, PushProgress>();
  /** Leadership in which the progress was made. */
  private leadership: LogLeader | undefined;
  private waiters: Waiter[] = [];

  constructor(private readonly opts: ConfigPusherOptions) {}

  /** Sends newly applied versions, and those that are due again. */
  tick(member: LogMember, now: number): void {
    const {leader, state} = member;
    if (leader !== this.leadership) {
      this.leadership = leader;
      this.progress.clear();
    }
    if (!leader) this.endWaiting(() => true);
    if (!leader?.hasCommittedInTerm || !state) return;
    const {version} = state.current;
    const targets = this.findTargets(member, leader, now);
    for (const node of targets) {
      const progress = this.progressOf(node);
      const isDue = now - progress.sentAt >= progress.resendMs;
      const {confirmed = 0} = progress;
      if (confirmed < version && isDue) this.send(node, now);
    }
    for (const node of this.progress.keys()) {
      if (!targets.includes(node)) this.progress.delete(node);
    }
    this.checkWaiters(now);
  }

  /**
   * Calls `done` once all responsive nodes outside the log have confirmed a
   * version, which is being applied, or after `MAX_WAIT_MS`.
   */
  whenConfirmed(version: number, done: () => void): void {
    this.waiters.push({version, done, deadline: undefined});
  }

  /** Sends a version that has just been applied to all nodes. */
  push(member: LogMember, now: number): void {
    for (const progress of this.progress.values()) {
      progress.sentAt = Number.NEGATIVE_INFINITY;
      progress.resendMs = RESEND_MS;
    }
    this.tick(member, now);
  }

  /** Records a version that is in force at a node. */
  onConfirmed(node: string, version: number, now: number): void {
    const progress = this.progress.get(node);
    if (!progress) return;
    progress.confirmed = Math.max(progress.confirmed ?? 0, version);
    progress.resendMs = RESEND_MS;
    progress.unansweredSince = undefined;
    this.checkWaiters(now);
  }

  private checkWaiters(now: number): void {
    if (this.waiters.length === 0) return;
    const awaited = [...this.progress.values()]
      .filter(({unansweredSince: since = now}) => now - since < MAX_WAIT_MS)
      .map(({confirmed = 0}) => confirmed);
    const lowest = Math.min(...awaited);
    this.endWaiting(waiter => {
      waiter.deadline ??= now + MAX_WAIT_MS;
      return waiter.version <= lowest || now >= waiter.deadline;
    });
  }

  private endWaiting(isOver: (waiter: Waiter) => boolean): void {
    const ended = this.waiters.filter(isOver);
    if (ended.length === 0) return;
    this.waiters = this.waiters.filter(waiter => !ended.includes(waiter));
    for (const {done} of ended) done();
  }

  /** All nodes but the voters to which the log itself is replicated at present. */
  private findTargets(
    member: LogMember,
    leader: LogLeader,
    now: number,
  ): string[] {
    const {voters} = member.store.members;
    const silentMs = SILENT_TIMEOUTS * member.timing.ELECTION_TIMEOUT_MS;
    // A leader that has just been held up has not read its replies yet.
    const isAwake = leader.hasQuorum(now, member.timing.ELECTION_TIMEOUT_MS);
    const replicated = voters.filter(id => {
      // A node that has lost its disk is silent under its former member id.
      const contactAt = leader.progressOf(id)?.lastContactAt;
      return !isAwake || (contactAt ?? -Infinity) > now - silentMs;
    });
    const excluded = new Set(replicated.map(({node}) => node));
    excluded.add(this.opts.node);
    return [...new Set(this.opts.nodes())].filter(id => !excluded.has(id));
  }

  private progressOf(node: string): PushProgress {
    const known = this.progress.get(node) ?? {
      confirmed: undefined,
      sentAt: Number.NEGATIVE_INFINITY,
      resendMs: RESEND_MS,
      unansweredSince: undefined,
    };
    this.progress.set(node, known);
    return known;
  }

  private send(node: string, now: number): void {
    const progress = this.progressOf(node);
    const isRepeated = Number.isFinite(progress.sentAt);
    if (isRepeated) {
      progress.resendMs = Math.min(2 * progress.resendMs, MAX_RESEND_MS);
    }
    progress.sentAt = now;
    progress.unansweredSince ??= now;
    const {confirmed} = progress;
    // Most nodes have what a new leader has, which may be large.
    if (confirmed === undefined) this.opts.announce(node);
    else {
      const update = this.opts.updateFor(confirmed);
      this.opts.peers.send(node, 'config.push', update);
    }
  }
}
