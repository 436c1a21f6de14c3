import type {Membership} from './membership.js';

interface ElectionOptions {
  readonly isPreVote: boolean;
  /** Term that the candidate requests votes for. */
  readonly term: number;
  readonly members: Membership;
  /** Whether the leader started this election to transfer leadership. */
  readonly isTransfer: boolean;
}

/** Votes granted to a candidate in one pre-vote or vote round. */
export class Election {
  private readonly votes = new Map<string, number>();

  constructor(readonly opts: ElectionOptions) {}

  /**
   * Records a vote by storage id, with the time since the voter's last contact
   * with a leader in ms. Votes of non-voters are not counted.
   */
  addVote(storage: string, msSinceLeaderContact: number): void {
    this.votes.set(storage, msSinceLeaderContact);
  }

  hasVoteOf(storage: string): boolean {
    return this.votes.has(storage);
  }

  /**
   * Time during which no earlier leader can have been confirmed by a majority,
   * in ms: every majority shares a voter with the one that won this election.
   */
  get msWithoutLeader(): number {
    return Math.min(...this.votes.values());
  }

  get isWon(): boolean {
    const {voters} = this.opts.members;
    const votes = voters.filter(m => this.votes.has(m.storage)).length;
    return votes > voters.length / 2;
  }
}
