/** A part of the daemon that is started and stopped as a whole. */
export abstract class Service {
  abstract readonly name: string;

  /** Rejects if the service cannot do its work. */
  abstract start(): Promise<void>;

  /** Ends the service after what it has begun. */
  abstract stop(): Promise<void>;
}
