import type {Membership} from './membership.js';

interface ElectionOptions {
  readonly isPreVote: boolean;
  /** Term that votes are asked for. */
  readonly term: number;
  readonly members: Membership;
  /** Whether the leader asked this member to take over. */
  readonly isTransfer: boolean;
}

/** Votes that a member has got in one round. */
export class Election {
  private readonly votes = new Map<string, number>();

  constructor(readonly opts: ElectionOptions) {}

  /**
   * Counts a vote by storage id, with the time for which the voter has heard no
   * leader; votes of others than voters do not count.
   */
  addVote(storage: string, minMsSinceLeaderContact: number): void {
    this.votes.set(storage, minMsSinceLeaderContact);
  }

  /**
   * For how long no earlier leader can have been confirmed by a majority: each
   * majority has a voter in common with this one.
   */
  get minMsSinceLeaderContact(): number {
    return Math.min(...this.votes.values());
  }

  get isWon(): boolean {
    const {voters} = this.opts.members;
    const votes = voters.filter(m => this.votes.has(m.storage)).length;
    return votes > voters.length / 2;
  }
}
