/** A core node, as the leader sees it. */
export interface ZoneCore {
  readonly id: string;
  /** When the leader last received a message from it. */
  readonly seenAt: number;
  /** Start time of its process, as stated by the node. */
  readonly startedAt: number | undefined;
  /** Since when its process has been heard. */
  readonly knownSince: number;
  /** Whether its process is about to stop. */
  readonly isDraining: boolean;
}
