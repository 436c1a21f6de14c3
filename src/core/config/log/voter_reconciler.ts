import type {LogMember} from './log_member.js';
import type {LogMemberId} from './log_member_id.js';
import type {MembershipRequest} from './membership_request.js';

/** Interval between comparisons of the actual and the desired members. */
const RECONCILE_INTERVAL_MS = 250;
/**
 * A voter without contact for this long is replaced. Must exceed the time of a
 * restart, and be shorter than the interval after which another disk may fail.
 */
const REPLACE_VOTER_AFTER_MS = 3_000;
/** A learner without contact for this long is removed. */
const REMOVE_LEARNER_AFTER_MS = 5_000;
/**
 * A replacement is abandoned if the new member has been silent for this long before
 * it has a vote. Otherwise a new member that is lost for good would block all later
 * changes.
 */
const ABANDON_REPLACEMENT_AFTER_MS = 2_000;
/**
 * A non-member node is added only if its last poll is at most this old. Exceeds the
 * interval of polls; with a longer limit, a node that is lost together with a voter
 * would be chosen to replace it.
 */
const MAX_POLL_AGE_MS = 2_500;
/** Time within which a member replies to a leader for the first time. */
const FIRST_REPLY_MS = 500;
/**
 * This node was held up if its ticks are further apart. Silence from before is not
 * the fault of the others, whose messages it has yet to read.
 */
const MAX_TICK_GAP_MS = 500;
/** A new leader waits at most this long for the target number of voters. */
const MAX_GROWTH_MS = 5_000;

interface NodeWithStorage extends LogMemberId {
  /** Time of its last poll. */
  readonly at: number;
}

interface VoterReconcilerOptions {
  /** Desired number of voters; odd. */
  readonly voterTarget: number;
  /** Other nodes that have announced a data folder, members included. */
  readonly nodesWithStorage: () => readonly NodeWithStorage[];
  /** Availability zone of a node, if known. */
  readonly zoneOf: (node: string) => string | undefined;
  /**
   * When a presence message of a node was last received here; negative infinity if
   * never.
   * Default: only replies to the leader count.
   */
  readonly heardAt?: ((node: string) => number) | undefined;
}

/**
 * Keeps the number of voters at its target. While this node is the leader, adds
 * nodes with a data folder as learners, promotes learners, and replaces voters
 * that are unreachable or concentrated in one availability zone. Nodes that are not
 * needed as voters remain learners, so that every leader knows them and they have the
 * log when a voter is lost.
 */
export class VoterReconciler {
  private nextReconcileAt = 0;
  private term = -1;
  private leaderSince = 0;
  private hasReachedTarget = false;
  private lastTickAt = Number.NEGATIVE_INFINITY;
  /** Since when this node has run without being held up. */
  private awakeSince = 0;

  constructor(private readonly opts: VoterReconcilerOptions) {}

  /** Starts at most one membership change; called periodically. */
  tick(member: LogMember, now: number): void {
    if (now - this.lastTickAt > MAX_TICK_GAP_MS) this.awakeSince = now;
    this.lastTickAt = now;
    const {leader, term} = member;
    if (!leader) return;
    if (term !== this.term) {
      this.term = term;
      this.leaderSince = now;
    }
    if (now < this.nextReconcileAt || !leader.hasCommittedInTerm) return;
    this.nextReconcileAt = now + RECONCILE_INTERVAL_MS;
    const request = this.planChange(member, now);
    if (!request) return;
    const findMemberId = (node: string) =>
      this.opts.nodesWithStorage().find(n => n.node === node);
    // A refused change is planned again at the next interval.
    leader.membership.request(request, findMemberId, now, () => undefined);
  }

  /**
   * Whether the log has reached its target number of voters, so that committed
   * entries survive as many lost disks as intended. Also true once a new leader
   * has waited `MAX_GROWTH_MS`, so that a deployment with too few nodes is not
   * blocked forever.
   */
  hasEnoughVoters(member: LogMember, now: number): boolean {
    this.hasReachedTarget ||=
      member.store.members.voters.length >= this.opts.voterTarget;
    if (this.hasReachedTarget) return true;
    return member.term === this.term && now - this.leaderSince > MAX_GROWTH_MS;
  }

  private planChange(
    member: LogMember,
    now: number,
  ): MembershipRequest | undefined {
    const {voters, learners, replacing} = member.store.members;
    const msSince = (id: LogMemberId) => this.msSinceContact(member, id, now);
    if (replacing) {
      const {next} = replacing;
      const isLost = msSince(next) > ABANDON_REPLACEMENT_AFTER_MS;
      return isLost ? {op: 'remove', node: next.node} : undefined;
    }
    const stale = learners.find(l => msSince(l) > REMOVE_LEARNER_AFTER_MS);
    if (stale) return {op: 'remove', node: stale.node};
    const spares = this.findSpares(member, now);
    const next = this.pickSpare(spares, voters);
    if (!next) return undefined;
    if (voters.length < this.opts.voterTarget) {
      const isLearner = learners.some(l => l.storage === next.storage);
      return {op: isLearner ? 'promote' : 'add', node: next.node};
    }
    const old =
      voters.find(v => msSince(v) > REPLACE_VOTER_AFTER_MS) ??
      this.findVoterToMove(member, next);
    if (old) return {op: 'replace', old: old.node, next: next.node};
    const joining = spares.find(s => !learners.some(l => l.node === s.node));
    return joining && {op: 'add', node: joining.node};
  }

  /** A voter whose zone has at least two more voters than the spare's zone. */
  private findVoterToMove(
    member: LogMember,
    spare: LogMemberId,
  ): LogMemberId | undefined {
    const {voters} = member.store.members;
    const spareCount = this.countVotersInZoneOf(spare, voters);
    return voters.find(
      v =>
        v.storage !== member.id.storage &&
        this.countVotersInZoneOf(v, voters) >= spareCount + 2,
    );
  }

  /** Reachable learners, then non-member nodes with a recent poll. */
  private findSpares(member: LogMember, now: number): LogMemberId[] {
    const {voters, learners} = member.store.members;
    const isAt = (list: readonly LogMemberId[], node: string) =>
      list.some(m => m.node === node);
    const nonMembers = this.opts
      .nodesWithStorage()
      .filter(n => now - n.at < MAX_POLL_AGE_MS)
      .filter(n => !isAt(voters, n.node) && !isAt(learners, n.node));
    // A learner at the node of a voter is going to replace that one.
    const reachable = learners.filter(
      l =>
        !isAt(voters, l.node) &&
        this.msSinceContact(member, l, now) < member.timing.ELECTION_TIMEOUT_MS,
    );
    return [...reachable, ...nonMembers];
  }

  /** The spare in the zone with the fewest voters; learners win ties. */
  private pickSpare(
    spares: readonly LogMemberId[],
    voters: readonly LogMemberId[],
  ): LogMemberId | undefined {
    const countOf = (spare: LogMemberId) =>
      this.countVotersInZoneOf(spare, voters);
    return spares.toSorted((a, b) => countOf(a) - countOf(b))[0];
  }

  /** Number of voters in the zone of a node; 0 if the zone is unknown. */
  private countVotersInZoneOf(
    id: LogMemberId,
    voters: readonly LogMemberId[],
  ): number {
    const {zoneOf} = this.opts;
    const zone = zoneOf(id.node);
    if (zone === undefined) return 0;
    return voters.filter(v => zoneOf(v.node) === zone).length;
  }

  /**
   * Time without contact with a member. A leader that the member has never replied
   * to counts the time from before its leadership too, since leaderships may be
   * shorter than the time after which a voter is replaced.
   */
  private msSinceContact(
    member: LogMember,
    id: LogMemberId,
    now: number,
  ): number {
    if (id.storage === member.id.storage) return 0;
    const progress = member.leader?.progressOf(id);
    if (!progress) return Infinity;
    const {heardAt} = this.opts;
    const {hasReplied, lastContactAt} = progress;
    const isOverdue = !hasReplied && now - lastContactAt >= FIRST_REPLY_MS;
    const contactAt =
      heardAt && isOverdue
        ? Math.min(heardAt(id.node), lastContactAt)
        : lastContactAt;
    return now - Math.max(contactAt, this.awakeSince);
  }
}
