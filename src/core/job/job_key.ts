import {Result} from 'true-myth';
import {validate, version} from 'uuid';

const ZONE_SEPARATOR = '~';
const ZONE_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
/** A UUIDv7 starts with 48 bits of epoch milliseconds: 12 hex digits. */
const TIME_HEX_DIGITS = 12;
const KEY_HELP = 'use [ZONE~]UUIDv7, or take a key from POST /v1/keys';

/** Idempotency key of a job: its home zone and the time it was made. */
export class JobKey {
  private constructor(
    readonly text: string,
    /** The zone named in the key, if it names one. */
    readonly zone: string | undefined,
    readonly uuid: string,
    /** Epoch milliseconds at which the key was made. */
    readonly timeMs: number,
  ) {}

  /** Reads a key, or says what is wrong with it. */
  static parse(text: string): Result<JobKey, string> {
    const at = text.indexOf(ZONE_SEPARATOR);
    const zone = at < 0 ? undefined : text.slice(0, at);
    const uuid = text.slice(at + 1).toLowerCase();
    if (zone !== undefined && !ZONE_PATTERN.test(zone)) {
      return Result.err(`the key names no valid zone; ${KEY_HELP}`);
    }
    if (!validate(uuid) || version(uuid) !== 7) {
      return Result.err(`the key is no UUIDv7; ${KEY_HELP}`);
    }
    const hex = uuid.replaceAll('-', '').slice(0, TIME_HEX_DIGITS);
    const canonical =
      zone === undefined ? uuid : `${zone}${ZONE_SEPARATOR}${uuid}`;
    return Result.ok(
      new JobKey(canonical, zone, uuid, Number.parseInt(hex, 16)),
    );
  }

  /**
   * The zone whose group owns the job. Every daemon computes the same one, so
   * `zones` must be the deployment's full sorted list.
   */
  home(zones: readonly string[]): string | undefined {
    if (this.zone !== undefined) {
      return zones.includes(this.zone) ? this.zone : undefined;
    }
    const tail = Number.parseInt(this.uuid.slice(-8), 16);
    return zones[tail % zones.length];
  }
}
