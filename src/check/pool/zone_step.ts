/** One step of a generated history of a deployment with zones, after `waitMs`. */
export type ZoneStep = {readonly waitMs: number} &
  /** A core node ends without notice; another process starts later. */
  (
    | {readonly kind: 'kill'; readonly core: number; readonly forMs: number}
    /** A core node is suspended. */
    | {readonly kind: 'suspend'; readonly core: number; readonly forMs: number}
    /** A core node is stopped as planned; another process starts later. */
    | {readonly kind: 'drain'; readonly core: number; readonly forMs: number}
    /** The callers of a zone send many wide jobs at once. */
    | {readonly kind: 'burst'; readonly zone: number; readonly jobs: number}
    /** All links between a zone and the others are cut. */
    | {readonly kind: 'cut_zone'; readonly zone: number; readonly forMs: number}
    /** The links between two core nodes are cut. */
    | {
        readonly kind: 'cut_cores';
        readonly core: number;
        readonly other: number;
        readonly forMs: number;
      }
    /** A core node loses the other core nodes and each second worker. */
    | {
        readonly kind: 'cut_workers';
        readonly core: number;
        readonly parity: number;
        readonly forMs: number;
      }
    /** A core node loses all entry nodes. */
    | {
        readonly kind: 'cut_entries';
        readonly core: number;
        readonly forMs: number;
      }
  );
