import type {FakeClock} from '../fake_clock.js';
import type {SuspendableClock} from './suspendable_clock.js';

/** Time without a confirmed leader after which another node is elected. */
const ELECTION_MS = 600;

interface Votes {
  readonly live: readonly string[];
  readonly voters: number;
  readonly isConnected: (a: string, b: string) => boolean;
  /** Interval at which a starved node runs, in ms; 0 for the others. */
  readonly lagMs: (id: string) => number;
}

interface Belief {
  readonly term: number;
  confirmedAt: number;
}

/** Elections of the configuration log, by the nodes that reach a majority. */
export class FakeElection {
  private term = 0;
  private current: string | undefined;
  private confirmedAt: number;
  /** Terms in which nodes believe to lead, until they hear of a later one. */
  private readonly beliefs = new Map<string, Belief>();

  constructor(
    private readonly clock: FakeClock,
    private readonly votes: () => Votes,
  ) {
    this.confirmedAt = clock.now() - ELECTION_MS;
  }

  get leader(): string | undefined {
    return this.current;
  }

  tick(): void {
    const now = this.clock.now();
    const {live, voters, isConnected, lagMs} = this.votes();
    const hasMajority = (id: string) =>
      live.filter(other => other === id || isConnected(id, other)).length * 2 >
      voters;
    for (const [id, belief] of this.beliefs) {
      if (!live.includes(id)) continue;
      const {current} = this;
      const hearsLeader =
        current !== undefined &&
        live.includes(current) &&
        isConnected(id, current);
      if (belief.term < this.term && hearsLeader) this.beliefs.delete(id);
    }
    if (this.current !== undefined) {
      if (live.includes(this.current) && hasMajority(this.current)) {
        this.confirmedAt = now;
        // A starved leader reads the replies when it runs again.
        this.beliefs.get(this.current)!.confirmedAt = now - lagMs(this.current);
        return;
      }
    }
    if (now - this.confirmedAt < ELECTION_MS) return;
    const next = live.find(id => id !== this.current && hasMajority(id));
    if (next !== undefined) this.elect(next);
  }

  /** Passes the leadership to another live node at once. */
  transfer(): void {
    const {live} = this.votes();
    const before = this.current;
    const next = live.find(id => id !== before);
    if (next === undefined) return;
    this.elect(next);
    if (before !== undefined) this.beliefs.delete(before);
  }

  /** Ends the leadership of a process that was killed. */
  forget(id: string): void {
    this.beliefs.delete(id);
    if (this.current === id) this.current = undefined;
  }

  /** What a node believes of its leadership, with times of its clock. */
  leadershipOf(id: string, clock: SuspendableClock) {
    const belief = this.beliefs.get(id);
    if (!belief) return undefined;
    const confirmedAt = clock.ownTimeOf(belief.confirmedAt);
    return {...belief, confirmedAt, isSettled: true, silentMs: 0};
  }

  private elect(id: string): void {
    this.term += 1;
    this.current = id;
    this.confirmedAt = this.clock.now();
    this.beliefs.set(id, {term: this.term, confirmedAt: this.confirmedAt});
  }
}
