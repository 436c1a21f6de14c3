import type {ConsolaInstance} from 'consola';
import type {LogMember} from '../../core/config/log/log_member.js';
import type {Membership} from '../../core/config/log/membership.js';

/** Logs the members of the configuration log and the elections, as this node sees them. */
export class MembershipLog {
  private loggedMembers: Membership | undefined;
  private loggedRole = '';

  constructor(private readonly log: ConsolaInstance) {}

  /** Writes what has changed since the last call. */
  record(member: LogMember | undefined): void {
    if (!member) return;
    this.recordMembers(member);
    this.recordRole(member);
  }

  private recordMembers(member: LogMember): void {
    const {members, lastIndex} = member.store;
    if (members === this.loggedMembers) return;
    this.loggedMembers = members;
    const {voters, learners, replacing} = members;
    this.log.info('log_members', {
      voters: voters.map(({node}) => node),
      learners: learners.map(({node}) => node),
      replaced: replacing?.old.node,
      replacement: replacing?.next.node,
      term: member.term,
      is_leader: member.leader !== undefined,
      last_index: lastIndex,
    });
  }

  private recordRole(member: LogMember): void {
    const {role, term, leaderId: leader, commitIndex} = member;
    const logged = `${role} ${term} ${leader}`;
    if (logged === this.loggedRole) return;
    this.loggedRole = logged;
    const {lastIndex, durableIndex} = member.store;
    this.log.info('log_role', {
      role,
      term,
      leader,
      last_index: lastIndex,
      synced_index: durableIndex,
      commit_index: commitIndex,
    });
  }
}
