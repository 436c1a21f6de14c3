interface Shape {
  readonly zones: number;
  readonly cores: number;
  readonly entries: number;
  readonly workers: number;
  /** Core processes that are not started, for replacements. */
  readonly spares: number;
  /** Number of disks that may be lost at a time. */
  readonly lostDisks: number;
  /** Whether links can be cut; a relay for each pair of processes. */
  readonly usesRelays: boolean;
}

/** Sizes of the deployments that the operator's check runs. */
export const OperatorShape: Readonly<Record<string, Shape>> = {
  /** One leader for all zones; every core process is a voter. */
  three: {
    ...{zones: 3, cores: 3, entries: 6, workers: 12, spares: 3},
    ...{lostDisks: 1, usesRelays: true},
  },
  /** One leader for all zones; five of six core processes are voters. */
  small: {
    ...{zones: 3, cores: 6, entries: 6, workers: 12, spares: 3},
    ...{lostDisks: 2, usesRelays: true},
  },
  /** A dispatcher for each zone. */
  zones: {
    ...{zones: 3, cores: 6, entries: 6, workers: 150, spares: 3},
    ...{lostDisks: 2, usesRelays: true},
  },
  /** As adresbirligi-grown; 2,000 relays would be too many. */
  grown: {
    ...{zones: 3, cores: 6, entries: 39, workers: 246, spares: 3},
    ...{lostDisks: 2, usesRelays: false},
  },
};
