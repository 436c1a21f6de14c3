/** A part of the daemon with its own start and stop. */
export abstract class Service {
  abstract readonly name: string;

  /** Rejects if the service cannot start. */
  abstract start(): Promise<void>;

  /** Finishes the work in progress and stops the service. */
  abstract stop(): Promise<void>;
}
