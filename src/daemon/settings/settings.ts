import * as v from 'valibot';

const MAX_PORT = 65_535;
const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;

const name = v.pipe(
  v.string(),
  v.regex(ID_PATTERN, 'expected 1 to 63 of a-z, 0-9 and "-"'),
);
const address = v.strictObject({
  host: v.pipe(v.string(), v.ip('expected an IP address')),
  port: v.pipe(
    v.number(),
    v.integer(),
    v.minValue(0, `expected a port from 0 to ${MAX_PORT}`),
    v.maxValue(MAX_PORT, `expected a port from 0 to ${MAX_PORT}`),
  ),
});

/** Validator of a daemon's settings file. */
export const Settings = v.strictObject({
  /** This daemon; one of `nodes`. */
  node: name,
  caller: address,
  admin: address,
  /** File that holds the bearer token of the admin API. */
  admin_token_file: v.optional(v.string()),
  /** Folder for durable state, on nodes that have a disk. */
  data_dir: v.optional(v.string()),
  /** StatsD server; no metrics are sent without it. */
  statsd: v.optional(address),
  /** Every daemon of the deployment, this one included. */
  nodes: v.pipe(
    v.array(
      v.strictObject({
        id: name,
        zone: name,
        peer: address,
        /** Whether the node votes on configuration; it needs a disk. */
        voter: v.optional(v.boolean(), false),
      }),
    ),
    v.minLength(1),
  ),
});

/** A daemon's settings. */
export type Settings = Readonly<v.InferOutput<typeof Settings>>;
