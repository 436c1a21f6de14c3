import type {SeededRandom} from '../../../test-support/fakes/seeded_random.js';

/** Faults that are injected in the turn in which an acknowledgement arrives. */
const AIMED = [
  ...['killAcker', 'killAckerAndLeader', 'wipeAcker', 'wipeAckerAndLeader'],
  ...['wipeSomeKillCores', 'wipeSomeKillAll', 'killCores', 'killCores'],
  ...['killAll', 'stopAcker', 'suspendAcker', 'suspendLeader', 'replaceAcker'],
] as const;
const OTHER = ['stopInTurn', 'suspendSome', 'reload', 'exchangeSeeds'] as const;
const LINK_FAULTS = ['cutCore', 'cutZone', 'cutEntry', 'reset', 'silence'];

interface DeckOptions {
  readonly random: SeededRandom;
  /** Whether links can be disturbed. */
  readonly usesRelays: boolean;
}

/**
 * Deals kinds of faults from a shuffled list, so that each kind is dealt before the
 * list starts again. One independent draw a round reached 9.3 of the 21 kinds in 12
 * rounds on average.
 */
export class FaultDeck {
  /** Faults in each round; the longest list is dealt in 12 rounds. */
  static readonly PER_ROUND = 2;

  /** How often each kind was dealt. */
  readonly dealt = new Map<string, number>();
  private readonly all: readonly string[];
  private rest: string[] = [];

  constructor(private readonly opts: DeckOptions) {
    this.all = [...AIMED, ...OTHER, ...(opts.usesRelays ? LINK_FAULTS : [])];
  }

  /** All kinds that can be dealt. */
  get kinds(): string[] {
    return [...new Set(this.all)];
  }

  static isAimed(kind: string): boolean {
    return (AIMED as readonly string[]).includes(kind);
  }

  next(): string {
    if (this.rest.length === 0) this.rest = [...this.all];
    const at = this.opts.random.integerBelow(this.rest.length);
    const [kind] = this.rest.splice(at, 1) as [string];
    this.dealt.set(kind, (this.dealt.get(kind) ?? 0) + 1);
    return kind;
  }
}
