/** A process on the platform. */
export abstract class Program {
  /** Rejects if the process cannot do its work. */
  abstract start(): Promise<void>;

  /** Ends after what it has begun, within the grace period. */
  abstract stop(): Promise<void>;
}
