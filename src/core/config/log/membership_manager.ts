import type {ChangeRefusal} from '../state/change_refusal.js';
import type {LogLeader} from './log_leader.js';
import type {LogMember} from './log_member.js';
import type {LogMemberId} from './log_member_id.js';
import type {Membership} from './membership.js';
import type {MembershipRequest} from './membership_request.js';

/**
 * Called with undefined once the change is complete, otherwise with a refusal,
 * whose outcome may be unknown.
 */
type Done = (refusal: ChangeRefusal | undefined) => void;

interface Plan {
  /** Undefined if the members already are as requested. */
  readonly next: Membership | undefined;
  readonly isDone: (members: Membership) => boolean;
}

/**
 * Changes the members one entry at a time, and continues a replacement that
 * this or an earlier leader has started.
 */
export class MembershipManager {
  /** Index of the `members` entry to be committed before the next change. */
  private pendingIndex = 0;
  private readonly pendingRequests: Array<{
    isDone: (members: Membership) => boolean;
    done: Done;
  }> = [];

  constructor(
    private readonly leader: LogLeader,
    private readonly member: LogMember,
  ) {
    this.pendingIndex = member.store.membersIndex;
  }

  /**
   * Starts a membership change. `findMemberId` returns the member id of a node
   * that has announced a data folder.
   */
  request(
    req: MembershipRequest,
    findMemberId: (node: string) => LogMemberId | undefined,
    now: number,
    done: Done,
  ): void {
    const plan = this.plan(req, findMemberId);
    if ('refusal' in plan) {
      done(plan.refusal);
      return;
    }
    const {next, isDone} = plan;
    if (next && this.isChanging) {
      done(refuse('unavailable', 'another membership change is in progress'));
      return;
    }
    this.pendingRequests.push({isDone, done});
    if (next) this.proposeMembers(next, now);
    else this.completeRequests();
  }

  /**
   * Starts the replacement of a voter that reports a new storage id, because
   * its data folder was lost.
   */
  onStorageReported(reported: LogMemberId, now: number): void {
    if (this.isChanging) return;
    const {members} = this.member.store;
    const {voters, learners, replacing} = members;
    const hasStorage = (m: LogMemberId) => m.storage === reported.storage;
    const isAtNode = (m: LogMemberId) => m.node === reported.node;
    if (replacing && isAtNode(replacing.next) && !hasStorage(replacing.next)) {
      const {storage} = replacing.next;
      if (voters.some(m => m.storage === storage)) return;
      const rest = learners.filter(m => m.storage !== storage);
      // The folder was lost again, or this report is a delayed message about an
      // earlier folder.
      const next = voters.some(hasStorage)
        ? {voters, learners: rest}
        : {
            voters,
            learners: [...rest, reported],
            replacing: {...replacing, next: reported},
          };
      this.proposeMembers(next, now);
      return;
    }
    if (voters.some(hasStorage)) return;
    const old = voters.find(isAtNode);
    const isLearner = learners.some(hasStorage);
    if (!old && (isLearner || !learners.some(isAtNode))) return;
    // Voters are replaced one at a time, but catch up at the same time.
    if (replacing && isLearner) return;
    const rest = learners.filter(m => !isAtNode(m));
    this.proposeMembers(
      {
        voters,
        learners: [...rest, reported],
        ...(replacing ? {replacing} : {}),
        ...(old && !replacing ? {replacing: {old, next: reported}} : {}),
      },
      now,
    );
  }

  tick(now: number): void {
    const {replacing} = this.member.store.members;
    if (replacing && !this.isChanging) this.continueReplacement(replacing, now);
  }

  onApplied(index: number, now: number): void {
    if (index < this.pendingIndex) return;
    this.completeRequests();
    if (index !== this.pendingIndex) return;
    const {store, id} = this.member;
    const isVoter = store.members.voters.some(m => m.storage === id.storage);
    // A leader that removes itself steps down once the removal is committed.
    if (!isVoter) this.member.stepDown(now);
  }

  end(): void {
    for (const {done} of this.pendingRequests.splice(0)) {
      done({
        code: 'unavailable',
        outcome: 'outcome_unknown',
        detail: 'the leader changed before the membership change was complete',
      });
    }
  }

  private get isChanging(): boolean {
    const {commitIndex} = this.member;
    return !this.leader.hasCommittedInTerm || commitIndex < this.pendingIndex;
  }

  private proposeMembers(next: Membership, now: number): void {
    this.pendingIndex = this.member.store.lastIndex + 1;
    this.leader.propose({kind: 'members', members: next}, now, () => undefined);
  }

  private completeRequests(): void {
    if (this.isChanging) return;
    const {members} = this.member.store;
    const ready = this.pendingRequests.filter(w => w.isDone(members));
    for (const entry of ready) {
      this.pendingRequests.splice(this.pendingRequests.indexOf(entry), 1);
      entry.done(undefined);
    }
  }

  private continueReplacement(
    {old, next}: NonNullable<Membership['replacing']>,
    now: number,
  ): void {
    const {voters, learners} = this.member.store.members;
    const has = (list: readonly LogMemberId[], m: LogMemberId) =>
      list.some(x => x.storage === m.storage);
    const without = (list: readonly LogMemberId[], m: LogMemberId) =>
      list.filter(x => x.storage !== m.storage);
    if (has(voters, next)) {
      this.proposeMembers({voters: without(voters, old), learners}, now);
      return;
    }
    if (!this.isCaughtUp(next, now)) return;
    const replacing = {old, next};
    // A node that reports a new folder has lost the old one for good, however
    // recent the last contact with the old one is.
    const isLost = old.node === next.node || !this.isReachable(old, now);
    if (has(voters, old) && isLost && voters.length > 1) {
      // Removing the unreachable voter first does not raise the majority size.
      this.proposeMembers(
        {voters: without(voters, old), learners, replacing},
        now,
      );
      return;
    }
    this.proposeMembers(
      {
        voters: [...voters, next],
        learners: without(learners, next),
        ...(has(voters, old) ? {replacing} : {}),
      },
      now,
    );
  }

  private isReachable(id: LogMemberId, now: number): boolean {
    if (id.storage === this.member.id.storage) return true;
    const lastContactAt = this.leader.progressOf(id)?.lastContactAt ?? 0;
    return now - lastContactAt < this.member.timing.ELECTION_TIMEOUT_MS;
  }

  private isCaughtUp(id: LogMemberId, now: number): boolean {
    const match = this.leader.progressOf(id)?.matchIndex ?? 0;
    return match >= this.member.commitIndex && this.isReachable(id, now);
  }

  private plan(
    req: MembershipRequest,
    findMemberId: (node: string) => LogMemberId | undefined,
  ): Plan | {refusal: ChangeRefusal} {
    const {replacing} = this.member.store.members;
    if (replacing && req.op === 'remove' && req.node === replacing.next.node) {
      return this.planCancel(replacing.next);
    }
    if (replacing && req.op !== 'replace') {
      return {refusal: refuse('unavailable', 'a replacement is in progress')};
    }
    switch (req.op) {
      case 'add':
        return this.planAdd(req.node, findMemberId(req.node));
      case 'promote':
        return this.planPromote(req.node);
      case 'remove':
        return this.planRemove(req.node);
      case 'replace':
        return this.planReplace(req, findMemberId);
    }
  }

  private planAdd(node: string, found: LogMemberId | undefined) {
    const {members} = this.member.store;
    const {voters, learners} = members;
    const isDone = (m: Membership) =>
      [...m.voters, ...m.learners].some(isAt(node));
    if (isDone(members)) return {next: undefined, isDone};
    if (!found) return {refusal: noStorageRefusal(node)};
    return {next: {voters, learners: [...learners, found]}, isDone};
  }

  private planPromote(node: string) {
    const {members} = this.member.store;
    const {voters, learners} = members;
    const isDone = (m: Membership) => m.voters.some(isAt(node));
    if (isDone(members)) return {next: undefined, isDone};
    const learner = learners.find(isAt(node));
    if (!learner) {
      const detail = `"${node}" is not a learner; add it first`;
      return {refusal: refuse('invalid', detail)};
    }
    const match = this.leader.progressOf(learner)?.matchIndex ?? 0;
    if (match < this.member.commitIndex) {
      const detail = `"${node}" has not caught up yet`;
      return {refusal: refuse('unavailable', detail)};
    }
    const rest = learners.filter(m => m !== learner);
    return {next: {voters: [...voters, learner], learners: rest}, isDone};
  }

  private planRemove(node: string) {
    const {members} = this.member.store;
    const isDone = (m: Membership) =>
      ![...m.voters, ...m.learners].some(isAt(node));
    if (isDone(members)) return {next: undefined, isDone};
    const voters = members.voters.filter(m => m.node !== node);
    if (voters.length === 0) {
      const detail = `"${node}" is the last voter`;
      return {refusal: refuse('invalid', detail)};
    }
    const learners = members.learners.filter(m => m.node !== node);
    return {next: {voters, learners}, isDone};
  }

  /** Cancels a replacement whose new member is not a voter yet. */
  private planCancel(added: LogMemberId) {
    const {voters, learners} = this.member.store.members;
    if (voters.some(m => m.storage === added.storage)) {
      const detail =
        'cannot cancel the replacement: its new member is already a voter';
      return {refusal: refuse('unavailable', detail)};
    }
    const rest = learners.filter(m => m.storage !== added.storage);
    const isDone = (m: Membership) => !m.replacing;
    return {next: {voters, learners: rest}, isDone};
  }

  private planReplace(
    req: Extract<MembershipRequest, {op: 'replace'}>,
    findMemberId: (node: string) => LogMemberId | undefined,
  ) {
    const {members} = this.member.store;
    const {voters, learners, replacing} = members;
    const isDone = (m: Membership) =>
      !m.replacing &&
      m.voters.some(x => x.node === req.next) &&
      (req.old === req.next || !m.voters.some(x => x.node === req.old));
    const isSame =
      replacing?.old.node === req.old && replacing.next.node === req.next;
    if (isSame || (req.old !== req.next && isDone(members))) {
      return {next: undefined, isDone};
    }
    if (replacing) {
      return {refusal: refuse('unavailable', 'a replacement is in progress')};
    }
    const old = voters.find(m => m.node === req.old);
    if (!old) return {refusal: refuse('invalid', `"${req.old}" is no voter`)};
    const found = findMemberId(req.next);
    if (!found) return {refusal: noStorageRefusal(req.next)};
    if (voters.some(m => m.storage === found.storage)) {
      return {refusal: refuse('invalid', `"${req.next}" is already a voter`)};
    }
    const rest = learners.filter(m => m.node !== req.next);
    const next = {
      voters,
      learners: [...rest, found],
      replacing: {old, next: found},
    };
    return {next, isDone};
  }
}

function refuse(
  code: 'invalid' | 'unavailable',
  detail: string,
): ChangeRefusal {
  return {code, outcome: 'not_made', detail};
}

function noStorageRefusal(node: string): ChangeRefusal {
  return refuse(
    'unavailable',
    `"${node}" has not announced a data folder; is its daemon running?`,
  );
}

function isAt(node: string): (member: LogMemberId) => boolean {
  return member => member.node === node;
}
