/** Limits and times of the grants of zones; times in ms. */
export const ZoneTiming = {
  /** Number of reporting workers from which on a zone is granted. */
  MIN_WORKERS: 48,
  /** Number of workers below which a granted zone returns to the leader. */
  MIN_WORKERS_KEPT: 32,
  /**
   * Time for which there must be fewer workers. After a partition it takes a few
   * seconds until all workers have reported again.
   */
  SHRUNK_MS: 4_000,
  /** A holder from which nothing was received for this long counts as lost. */
  HOLDER_TIMEOUT_MS: 500,
  /** A granted node that does not claim the zone within this time loses it. */
  CLAIM_TIMEOUT_MS: 500,
  /**
   * Nothing is concluded from a holder's silence until another node of its zone
   * was heard this long after it, without a gap as long: in a partition all fall
   * silent together, up to the interval of their messages.
   */
  EVIDENCE_MS: 300,
  /** A zone of which no node was heard for this long is silent. */
  SILENT_MS: 1_000,
  /**
   * The same for a zone that the leader dispatches. It may be heard from a single
   * entry node, which sends once a second.
   */
  SERVED_SILENT_MS: 2_000,
  /**
   * Time after a silence in which the holder of a zone can state its claim. After
   * a partition, the links are restored one after another.
   */
  LEARN_MS: 1_500,
  /** The same after a gap that is shorter than a silence. */
  LEARN_GAP_MS: 400,
  /**
   * Time after which a new process is granted a zone that another node can
   * dispatch meanwhile; it compiles its code in that time.
   */
  WARM_UP_MS: 3_000,
  /**
   * Time after the start of a leader in which new processes are granted zones at
   * once. After a stop of everything, each grant that comes later disturbs the
   * jobs that the leader has started in other zones.
   */
  YOUNG_MS: 5_000,
  /** Time for which a node that did not claim a zone is not granted it again. */
  UNFIT_MS: 5_000,
  /** Least time between two grants of a zone. */
  REGRANT_MS: 100,
} as const;
