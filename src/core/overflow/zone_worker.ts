const PREFIX = 'zone.';
const SCHEME = 'zone:';

/**
 * A lending zone appears to the borrowing zone's dispatcher as one virtual
 * worker. Formats and parses the ids that distinguish it from real workers.
 */
export class ZoneWorker {
  /** Worker id of a lending zone. */
  static idOf(zone: string): string {
    return `${PREFIX}${zone}`;
  }

  static addressOf(zone: string): string {
    return `${SCHEME}//${zone}`;
  }

  /** Whether a worker id belongs to a lending zone. */
  static isZone(worker: string): boolean {
    return worker.startsWith(PREFIX);
  }

  /** Zone named in a worker id; undefined for a real worker. */
  static zoneOf(worker: string): string | undefined {
    return ZoneWorker.isZone(worker) ? worker.slice(PREFIX.length) : undefined;
  }
}
