interface VoterStatus {
  readonly node: string;
  readonly role: 'voter' | 'learner';
}

/** State of the configuration at this daemon. */
export interface ConfigStatus {
  /** Version in force here. */
  readonly version: number;
  /** Leader of the configuration log as far as this daemon knows. */
  readonly leader: string | undefined;
  readonly voters: readonly VoterStatus[];
}
