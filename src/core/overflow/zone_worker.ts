const PREFIX = 'zone.';
const SCHEME = 'zone:';

/**
 * A zone that lends slots appears to the borrowing dispatcher as one worker.
 * This class makes and reads the names that tell it from real workers.
 */
export class ZoneWorker {
  /** Worker id under which a zone lends its slots. */
  static idOf(zone: string): string {
    return `${PREFIX}${zone}`;
  }

  static addressOf(zone: string): string {
    return `${SCHEME}//${zone}`;
  }

  /** Whether a worker id stands for another zone. */
  static isZone(worker: string): boolean {
    return worker.startsWith(PREFIX);
  }

  /** The zone behind a worker id; undefined for a real worker. */
  static zoneOf(worker: string): string | undefined {
    return ZoneWorker.isZone(worker) ? worker.slice(PREFIX.length) : undefined;
  }
}
