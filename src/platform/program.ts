/** Work of one process on the platform, from its start to its graceful stop. */
export abstract class Program {
  /** Rejects if the process cannot start, for example if a port is in use. */
  abstract start(): Promise<void>;

  /** Finishes open requests and stops, within the grace period. */
  abstract stop(): Promise<void>;
}
