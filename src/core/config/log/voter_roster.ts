import type {LogMember} from './log_member.js';
import type {LogNodeId} from './log_node_id.js';
import type {MembershipRequest} from './membership_request.js';

/** Interval between decisions about the members. */
const REVIEW_MS = 250;
/**
 * A voter that was silent for this long is replaced. It is shorter than the
 * time after which users may lose another disk, and longer than a restart.
 */
const REPLACE_MS = 3_000;
/** A learner that was silent for this long is removed. */
const REMOVE_MS = 5_000;
/** A node outside the log is taken in if it was heard of this recently. */
const CANDIDATE_MS = 5_000;
/** A new lead waits this long for nodes to become voters. */
const FORMING_MS = 5_000;

interface Candidate extends LogNodeId {
  /** When it was last heard of. */
  readonly at: number;
}

interface VoterRosterOptions {
  /** Number of voters that the deployment needs; odd. */
  readonly target: number;
  /** Nodes with a data folder, as they announce it. */
  readonly candidates: () => readonly Candidate[];
  /** Availability zone of a node, if it is known. */
  readonly zoneOf: (node: string) => string | undefined;
}

/**
 * Keeps the log at its number of voters: while this node leads, it takes in
 * nodes with a data folder and replaces voters that are gone.
 */
export class VoterRoster {
  private nextReview = 0;
  private term = -1;
  private leadsSince = 0;
  private hasGrown = false;

  constructor(private readonly opts: VoterRosterOptions) {}

  /** Begins at most one change of members; called often. */
  tick(member: LogMember, now: number): void {
    const {leader, term} = member;
    if (!leader) return;
    if (term !== this.term) {
      this.term = term;
      this.leadsSince = now;
    }
    if (now < this.nextReview || !leader.isSettled) return;
    this.nextReview = now + REVIEW_MS;
    const request = this.decide(member, now);
    if (!request) return;
    const find = (node: string) =>
      this.opts.candidates().find(c => c.node === node);
    // What is refused now is decided anew at the next review.
    leader.members.request(request, find, now, () => undefined);
  }

  /**
   * Whether the log has grown to its number of voters, so that acknowledged
   * entries outlive the losses that it was made for. A deployment with too few
   * nodes does not wait for more for good.
   */
  isReady(member: LogMember, now: number): boolean {
    this.hasGrown ||= member.store.members.voters.length >= this.opts.target;
    if (this.hasGrown) return true;
    return member.term === this.term && now - this.leadsSince > FORMING_MS;
  }

  private decide(
    member: LogMember,
    now: number,
  ): MembershipRequest | undefined {
    const {voters, learners, replacing} = member.store.members;
    if (replacing) return undefined;
    const silentMs = (id: LogNodeId) => this.silentMs(member, id, now);
    const stale = learners.find(l => silentMs(l) > REMOVE_MS);
    if (stale) return {op: 'remove', node: stale.node};
    const spares = this.spares(member, now);
    const next = this.pick(spares, voters);
    if (!next) return undefined;
    if (voters.length < this.opts.target) {
      const isLearner = learners.some(l => l.storage === next.storage);
      return {op: isLearner ? 'promote' : 'add', node: next.node};
    }
    const old =
      voters.find(v => silentMs(v) > REPLACE_MS) ?? this.crowded(member, next);
    return old && {op: 'replace', old: old.node, next: next.node};
  }

  /** A voter whose zone has at least two more of them than the spare's. */
  private crowded(member: LogMember, spare: LogNodeId): LogNodeId | undefined {
    const {voters} = member.store.members;
    const least = this.votersBeside(spare, voters);
    return voters.find(
      v =>
        v.storage !== member.id.storage &&
        this.votersBeside(v, voters) >= least + 2,
    );
  }

  /** Nodes that could vote and don't. */
  private spares(member: LogMember, now: number): LogNodeId[] {
    const {voters, learners} = member.store.members;
    const isAt = (list: readonly LogNodeId[], node: string) =>
      list.some(m => m.node === node);
    const outside = this.opts
      .candidates()
      .filter(c => now - c.at < CANDIDATE_MS)
      .filter(c => !isAt(voters, c.node) && !isAt(learners, c.node));
    const inside = learners.filter(
      l => this.silentMs(member, l, now) < member.timing.ELECTION_TIMEOUT_MS,
    );
    return [...inside, ...outside];
  }

  /** The spare in the zone with the fewest voters; learners come first. */
  private pick(
    spares: readonly LogNodeId[],
    voters: readonly LogNodeId[],
  ): LogNodeId | undefined {
    const countOf = (spare: LogNodeId) => this.votersBeside(spare, voters);
    return spares.toSorted((a, b) => countOf(a) - countOf(b))[0];
  }

  /** Voters in the zone of a node; none while the zone is not known. */
  private votersBeside(id: LogNodeId, voters: readonly LogNodeId[]): number {
    const {zoneOf} = this.opts;
    const zone = zoneOf(id.node);
    if (zone === undefined) return 0;
    return voters.filter(v => zoneOf(v.node) === zone).length;
  }

  private silentMs(member: LogMember, id: LogNodeId, now: number): number {
    if (id.storage === member.id.storage) return 0;
    const heardAt = member.leader?.progressOf(id)?.heardAt;
    return heardAt === undefined ? Infinity : now - heardAt;
  }
}
