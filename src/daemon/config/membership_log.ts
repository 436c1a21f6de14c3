import type {ConsolaInstance} from 'consola';
import type {LogMember} from '../../core/config/log/log_member.js';
import type {Membership} from '../../core/config/log/membership.js';

/** Logs the members of the configuration log, as this node stores them. */
export class MembershipLog {
  private logged: Membership | undefined;

  constructor(private readonly log: ConsolaInstance) {}

  /** Writes a line if the members have changed since the last call. */
  record(member: LogMember | undefined): void {
    if (!member || member.store.members === this.logged) return;
    const {members} = member.store;
    this.logged = members;
    const {voters, learners, replacing} = members;
    this.log.info('log_members', {
      voters: voters.map(({node}) => node),
      learners: learners.map(({node}) => node),
      replaced: replacing?.old.node,
      replacement: replacing?.next.node,
      term: member.term,
      is_leader: member.leader !== undefined,
    });
  }
}
