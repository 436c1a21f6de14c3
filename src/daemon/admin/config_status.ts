interface VoterStatus {
  readonly node: string;
  readonly role: 'voter' | 'learner';
}

interface ForceStatus {
  readonly node: string;
  readonly version: number;
  /** Milliseconds since the daemon reported it. */
  readonly age_ms: number;
}

/** State of the configuration at this daemon. */
export interface ConfigStatus {
  /** Version in force here. */
  readonly version: number;
  /** Leader of the configuration log as far as this daemon knows. */
  readonly leader: string | undefined;
  readonly voters: readonly VoterStatus[];
  /** Version in force at each daemon that the leader hears of. */
  readonly inForce: readonly ForceStatus[];
}
