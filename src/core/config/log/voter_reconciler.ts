import type {LogMember} from './log_member.js';
import type {LogMemberId} from './log_member_id.js';
import type {MembershipRequest} from './membership_request.js';

/** Interval between decisions about the members. */
const RECONCILE_INTERVAL_MS = 250;
/**
 * A voter that was silent for this long is replaced. It is shorter than the
 * time after which users may lose another disk, and longer than a restart.
 */
const REPLACE_VOTER_AFTER_MS = 3_000;
/** A learner that was silent for this long is removed. */
const REMOVE_LEARNER_AFTER_MS = 5_000;
/** A node outside the log is taken in if it was heard of this recently. */
const MAX_SPARE_AGE_MS = 5_000;
/** A new lead waits this long for nodes to become voters. */
const MAX_GROWTH_MS = 5_000;

interface SpareNode extends LogMemberId {
  /** When it was last heard of. */
  readonly at: number;
}

interface VoterReconcilerOptions {
  /** Number of voters that the deployment needs; odd. */
  readonly voterTarget: number;
  /** Nodes with a data folder, as they announce it. */
  readonly spareNodes: () => readonly SpareNode[];
  /** Availability zone of a node, if it is known. */
  readonly zoneOf: (node: string) => string | undefined;
}

/**
 * Keeps the log at its number of voters: while this node leads, it takes in
 * nodes with a data folder and replaces voters that are gone.
 */
export class VoterReconciler {
  private nextReconcileAt = 0;
  private term = -1;
  private leaderSince = 0;
  private hasReachedTarget = false;

  constructor(private readonly opts: VoterReconcilerOptions) {}

  /** Begins at most one change of members; called often. */
  tick(member: LogMember, now: number): void {
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
    const find = (node: string) =>
      this.opts.spareNodes().find(c => c.node === node);
    // What is refused now is decided anew at the next review.
    leader.membership.request(request, find, now, () => undefined);
  }

  /**
   * Whether the log has grown to its number of voters, so that acknowledged
   * entries outlive the losses that it was made for. A deployment with too few
   * nodes does not wait for more for good.
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
    if (replacing) return undefined;
    const silentMs = (id: LogMemberId) => this.msSinceContact(member, id, now);
    const stale = learners.find(l => silentMs(l) > REMOVE_LEARNER_AFTER_MS);
    if (stale) return {op: 'remove', node: stale.node};
    const spares = this.spares(member, now);
    const next = this.pickSpare(spares, voters);
    if (!next) return undefined;
    if (voters.length < this.opts.voterTarget) {
      const isLearner = learners.some(l => l.storage === next.storage);
      return {op: isLearner ? 'promote' : 'add', node: next.node};
    }
    const old =
      voters.find(v => silentMs(v) > REPLACE_VOTER_AFTER_MS) ??
      this.findVoterToMove(member, next);
    return old && {op: 'replace', old: old.node, next: next.node};
  }

  /** A voter whose zone has at least two more of them than the spare's. */
  private findVoterToMove(
    member: LogMember,
    spare: LogMemberId,
  ): LogMemberId | undefined {
    const {voters} = member.store.members;
    const least = this.countVotersInZoneOf(spare, voters);
    return voters.find(
      v =>
        v.storage !== member.id.storage &&
        this.countVotersInZoneOf(v, voters) >= least + 2,
    );
  }

  /** Nodes that could vote and don't. */
  private spares(member: LogMember, now: number): LogMemberId[] {
    const {voters, learners} = member.store.members;
    const isAt = (list: readonly LogMemberId[], node: string) =>
      list.some(m => m.node === node);
    const outside = this.opts
      .spareNodes()
      .filter(c => now - c.at < MAX_SPARE_AGE_MS)
      .filter(c => !isAt(voters, c.node) && !isAt(learners, c.node));
    const inside = learners.filter(
      l =>
        this.msSinceContact(member, l, now) < member.timing.ELECTION_TIMEOUT_MS,
    );
    return [...inside, ...outside];
  }

  /** The spare in the zone with the fewest voters; learners come first. */
  private pickSpare(
    spares: readonly LogMemberId[],
    voters: readonly LogMemberId[],
  ): LogMemberId | undefined {
    const countOf = (spare: LogMemberId) =>
      this.countVotersInZoneOf(spare, voters);
    return spares.toSorted((a, b) => countOf(a) - countOf(b))[0];
  }

  /** Voters in the zone of a node; none while the zone is not known. */
  private countVotersInZoneOf(
    id: LogMemberId,
    voters: readonly LogMemberId[],
  ): number {
    const {zoneOf} = this.opts;
    const zone = zoneOf(id.node);
    if (zone === undefined) return 0;
    return voters.filter(v => zoneOf(v.node) === zone).length;
  }

  private msSinceContact(
    member: LogMember,
    id: LogMemberId,
    now: number,
  ): number {
    if (id.storage === member.id.storage) return 0;
    const heardAt = member.leader?.progressOf(id)?.lastContactAt;
    return heardAt === undefined ? Infinity : now - heardAt;
  }
}
