import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {PlatformSettings} from './platform_settings.js';

const numberText = v.pipe(v.string(), v.transform(Number), v.finite());
/** A factor below 1 would send tasks away from their data. */
const remoteFactorText = v.pipe(numberText, v.minValue(1));
const commaSeparated = v.pipe(
  v.string(),
  v.transform(text => text.split(',').filter(each => each !== '')),
);
const booleanText = v.pipe(
  v.string(),
  v.transform(text => text === 'true'),
);

/** Prefix of the keys that list the zones, with their regions as values. */
const ZONE_PREFIX = 'zones.';

/** Groups of keys with numbers, which the platform may leave empty. */
const OPTIONAL_GROUPS = ['bounds.', 'limits.', 'fault_tolerance.'];

/** Keys of the settings file that are used, as the platform names them. */
const SettingsFile = v.object({
  node_name: v.string(),
  ip: v.string(),
  zone: v.string(),
  'listen.frontend': v.optional(v.string()),
  'listen.readiness': v.optional(v.string()),
  'listen.control': v.optional(v.string()),
  /** Ports for messages between nodes; only the first one is used. */
  internal_port_range: v.string(),
  /** Addresses of core VMs as `HOST:PORT`; only the host is used. */
  seeds: v.optional(commaSeparated, ''),
  /** Whether the deployment as such is started for the first time. */
  bootstrap: v.optional(booleanText, 'false'),
  data_dir: v.optional(v.string()),
  /** Number of simultaneously lost VMs, with their disks, to tolerate. */
  'fault_tolerance.machines': v.optional(numberText, '1'),
  /** Longest lease that workers accept. */
  'bounds.max_hold_ms': v.optional(numberText, '1000'),
  /** Time after which callers send a job again that was not answered. */
  'bounds.retransmit_ms': v.optional(numberText, '1300'),
  /** Slowdown of a task outside the rack of its data. */
  'bounds.remote_factor': v.optional(remoteFactorText, '2'),
  /** Time from SIGTERM to SIGKILL. */
  'bounds.grace_s': v.optional(numberText, '6'),
  /** Memory of the VM. */
  'limits.memory_mb': v.optional(v.pipe(numberText, v.gtValue(0)), '250'),
  /** Descriptors that the process may have open, including reserved ones. */
  'limits.max_open_files': v.optional(v.pipe(numberText, v.gtValue(0)), '4096'),
  /** Fraction of a processor that the VM has. */
  'limits.cpu_share': v.optional(v.pipe(numberText, v.gtValue(0)), '1'),
});

/**
 * Reads the settings file that the platform writes, with one `KEY=VALUE` per
 * line. The error names the first wrong key.
 */
export function readPlatformSettings(
  path: string,
): Result<PlatformSettings, string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (err) {
    return Result.err(`settings: ${String(err)}`);
  }
  const pairs = text.split('\n').flatMap(line => {
    const at = line.indexOf('=');
    return at < 0
      ? []
      : [[line.slice(0, at).trim(), line.slice(at + 1).trim()]];
  });
  // An empty number would be read as 0.
  const isUnset = ([key, value]: string[]) =>
    value === '' && OPTIONAL_GROUPS.some(group => key!.startsWith(group));
  const given = pairs.filter(pair => !isUnset(pair));
  const parsed = v.safeParse(SettingsFile, Object.fromEntries(given));
  if (!parsed.success) {
    const [issue] = parsed.issues;
    return Result.err(`settings: ${v.getDotPath(issue)}: ${issue.message}`);
  }
  const file = parsed.output;
  const zones = pairs
    .filter(([key]) => key!.startsWith(ZONE_PREFIX))
    .map(([key, region]) => [key!.slice(ZONE_PREFIX.length), region!] as const)
    .filter(([zone]) => zone !== '');
  return Result.ok({
    node: file.node_name,
    ip: file.ip,
    zone: file.zone,
    zones: new Map(zones),
    callers: file['listen.frontend'],
    readiness: file['listen.readiness'],
    control: file['listen.control'],
    peerPort: Number(file.internal_port_range.split(',')[0]),
    seeds: file.seeds.map(address => address.split(':')[0]!),
    isFirstStart: file.bootstrap,
    dataDir: file.data_dir === '' ? undefined : file.data_dir,
    lostDisks: file['fault_tolerance.machines'],
    leaseMs: file['bounds.max_hold_ms'],
    resendMs: file['bounds.retransmit_ms'],
    remoteFactor: file['bounds.remote_factor'],
    graceMs: file['bounds.grace_s'] * 1_000,
    memoryBytes: file['limits.memory_mb'] * 1_048_576,
    maxOpenFiles: file['limits.max_open_files'],
    processorShare: file['limits.cpu_share'],
  });
}
