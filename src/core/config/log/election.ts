import type {Membership} from './membership.js';

interface ElectionOptions {
  readonly isPre: boolean;
  /** Term that votes are asked for. */
  readonly term: number;
  readonly members: Membership;
  /** Whether the leader asked this member to take over. */
  readonly isTransfer: boolean;
}

/** Votes that a member has got in one round. */
export class Election {
  private readonly votes = new Set<string>();

  constructor(readonly opts: ElectionOptions) {}

  /** Counts a vote by storage id; votes of others than voters do not count. */
  add(storage: string): void {
    this.votes.add(storage);
  }

  get isWon(): boolean {
    const {voters} = this.opts.members;
    const votes = voters.filter(m => this.votes.has(m.storage)).length;
    return votes > voters.length / 2;
  }
}
