import * as v from 'valibot';

const MAX_PORT = 65_535;
const MAX_NODES = 1_000;
const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const PREFIX_PATTERN = /^[A-Za-z0-9_.-]{0,64}$/;

const NAME_FORM = '1 to 63 of a-z, 0-9 and "-", the first no "-"';
const PATH_FORM = 'a path that is not empty';
const BOOLEAN_FORM = 'true or false';
const LEVELS = ['error', 'warn', 'info', 'debug'] as const;
const LEVEL_FORM = LEVELS.map(level => `"${level}"`).join(', ');

const name = v.pipe(v.string(NAME_FORM), v.regex(ID_PATTERN, NAME_FORM));
const path = v.pipe(v.string(PATH_FORM), v.minLength(1, PATH_FORM));
const address = v.strictObject({
  host: v.pipe(
    v.string('an IP address, as a string'),
    v.ip('an IP address, as a string'),
  ),
  port: integerInRange(0, MAX_PORT, 'a port'),
});

/** Integer within a range; the error message has the range and any unit. */
function integerInRange(
  min: number,
  max: number,
  what = 'a whole number',
  unit = '',
) {
  const form = `${what} from ${min} to ${max}${unit && ` ${unit}`}`;
  return v.pipe(
    v.number(form),
    v.integer(form),
    v.minValue(min, form),
    v.maxValue(max, form),
  );
}

const milliseconds = (min: number, max: number) =>
  integerInRange(min, max, 'a whole number', 'ms');

/**
 * Schema of a daemon's settings file. The message of each check is the expected
 * form of the value, which becomes part of the error message.
 */
export const Settings = v.strictObject({
  /** Id of this daemon, which must be listed in `nodes`. */
  node: name,
  /** Listening address for callers and upstreams. Port 0 takes any free port. */
  caller: address,
  /** Listening address of the admin API. */
  admin: address,
  /** File that holds the bearer token of the admin API. */
  admin_token_file: path,
  /** Data folder, for durable state. Default: none, for a node without a disk. */
  data_dir: v.optional(path),
  /** Least severe level that is logged. */
  log_level: v.optional(v.picklist(LEVELS, `one of ${LEVEL_FORM}`), 'info'),
  /** Address of the StatsD server (UDP). Default: no metrics are sent. */
  statsd: v.optional(address),
  /** Prefix of the name of each metric. */
  statsd_prefix: v.optional(
    v.pipe(
      v.string('up to 64 of A-Z, a-z, 0-9, "_", "." and "-"'),
      v.regex(PREFIX_PATTERN, 'up to 64 of A-Z, a-z, 0-9, "_", "." and "-"'),
    ),
    'pimentoyoke.',
  ),
  /**
   * Time for which a draining daemon still accepts requests while its health
   * check returns 503. It must exceed the load balancer's check interval.
   * Otherwise requests are still sent here after the daemon stops listening.
   */
  drain_notice_ms: v.optional(milliseconds(0, 600_000), 3_000),
  /** Maximum number of histogram series; further classes and tenants share one. */
  max_histogram_series: v.optional(integerInRange(2, 100_000), 512),
  /** Limits of the HTTP servers. */
  http: v.optional(
    v.strictObject({
      max_connections: v.optional(integerInRange(1, 1_000_000), 10_000),
      max_requests_per_connection: v.optional(integerInRange(1, 1e9), 100_000),
      max_body_bytes: v.optional(
        integerInRange(1_024, 64 * 1024 * 1024, 'a whole number', 'bytes'),
        8 * 1024 * 1024,
      ),
      headers_timeout_ms: v.optional(milliseconds(100, 60_000), 5_000),
      request_timeout_ms: v.optional(milliseconds(100, 600_000), 30_000),
      keep_alive_timeout_ms: v.optional(milliseconds(100, 600_000), 60_000),
    }),
    {},
  ),
  /** All daemons of the deployment, including this one. */
  nodes: v.pipe(
    v.array(
      v.strictObject({
        id: name,
        zone: name,
        /** Address of the node for connections between daemons. */
        peer: address,
        /** Whether the node is a voter of the configuration log; needs a disk. */
        voter: v.optional(v.boolean(BOOLEAN_FORM), false),
      }),
    ),
    v.minLength(1, `1 to ${MAX_NODES} nodes`),
    v.maxLength(MAX_NODES, `1 to ${MAX_NODES} nodes`),
  ),
});

/** A daemon's settings. */
export type Settings = Readonly<v.InferOutput<typeof Settings>>;
