import {Result} from 'true-myth';
import {validate, version} from 'uuid';

const ZONE_SEPARATOR = '~';
const ZONE_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** A UUIDv7 starts with a 48-bit timestamp in epoch milliseconds. */
const TIME_HEX_DIGITS = 12;
const KEY_HELP = 'use [ZONE~]UUIDv7, or take a key from POST /v1/keys';

/** Idempotency key of a job, with its home zone and creation time. */
export class JobKey {
  private constructor(
    readonly text: string,
    /** The zone named in the key, if it names one. */
    readonly zone: string | undefined,
    readonly uuid: string,
    /** Creation time of the key, in epoch milliseconds. */
    readonly timeMs: number,
  ) {}

  /** Parses a key; the error describes what is wrong with it. */
  static parse(text: string): Result<JobKey, string> {
    const at = text.indexOf(ZONE_SEPARATOR);
    const zone = at < 0 ? undefined : text.slice(0, at);
    const uuid = text.slice(at + 1).toLowerCase();
    if (zone !== undefined && !ZONE_PATTERN.test(zone)) {
      return Result.err(`the zone of the key is invalid; ${KEY_HELP}`);
    }
    if (!validate(uuid) || version(uuid) !== 7) {
      return Result.err(`the key is not a UUIDv7; ${KEY_HELP}`);
    }
    const hex = uuid.replaceAll('-', '').slice(0, TIME_HEX_DIGITS);
    const canonical =
      zone === undefined ? uuid : `${zone}${ZONE_SEPARATOR}${uuid}`;
    return Result.ok(
      new JobKey(canonical, zone, uuid, Number.parseInt(hex, 16)),
    );
  }

  /**
   * Zone whose group owns the job; undefined if the key names an unknown zone.
   * `zones` must be the deployment's full sorted list, so that every daemon
   * computes the same zone.
   */
  home(zones: readonly string[]): string | undefined {
    if (this.zone !== undefined) {
      return zones.includes(this.zone) ? this.zone : undefined;
    }
    const tail = Number.parseInt(this.uuid.slice(-8), 16);
    return zones[tail % zones.length];
  }
}
