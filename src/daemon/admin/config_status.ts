interface VoterStatus {
  readonly node: string;
  readonly role: 'voter' | 'learner';
}

interface NodeVersion {
  readonly node: string;
  readonly version: number;
  /** Time since the node reported the version, in ms. */
  readonly age_ms: number;
}

/** Status of the configuration, as this daemon sees it. */
export interface ConfigStatus {
  /** Version in force at this daemon. */
  readonly version: number;
  /** Last known leader of the configuration log. */
  readonly leader: string | undefined;
  readonly voters: readonly VoterStatus[];
  /** Version in force at each daemon that reports to the leader. */
  readonly inForce: readonly NodeVersion[];
}
