import {readFileSync} from 'node:fs';
import {Result} from 'true-myth';
import * as v from 'valibot';
import type {PlatformSettings} from './platform_settings.js';

const number = v.pipe(v.string(), v.transform(Number), v.finite());
const list = v.pipe(
  v.string(),
  v.transform(text => text.split(',').filter(each => each !== '')),
);
const flag = v.pipe(
  v.string(),
  v.transform(text => text === 'true'),
);

/** Fields of the settings file that are used, under the platform's names. */
const File = v.object({
  node_name: v.string(),
  ip: v.string(),
  zone: v.string(),
  'listen.frontend': v.optional(v.string()),
  'listen.readiness': v.optional(v.string()),
  'listen.control': v.optional(v.string()),
  internal_port_range: v.string(),
  seeds: v.optional(list, ''),
  bootstrap: v.optional(flag, 'false'),
  data_dir: v.optional(v.string()),
  /** Machines that may be lost at one time, with their disks. */
  'fault_tolerance.machines': v.optional(number, '1'),
  'bounds.max_hold_ms': v.optional(number, '1000'),
  'bounds.grace_s': v.optional(number, '6'),
});

/** Reads the settings file that the platform has written. */
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
  const parsed = v.safeParse(File, Object.fromEntries(pairs));
  if (!parsed.success) {
    const [issue] = parsed.issues;
    return Result.err(`settings: ${v.getDotPath(issue)}: ${issue.message}`);
  }
  const file = parsed.output;
  return Result.ok({
    node: file.node_name,
    ip: file.ip,
    zone: file.zone,
    callers: file['listen.frontend'],
    readiness: file['listen.readiness'],
    control: file['listen.control'],
    peerPort: Number(file.internal_port_range.split(',')[0]),
    seeds: file.seeds.map(address => address.split(':')[0]!),
    isFirstStart: file.bootstrap,
    dataDir: file.data_dir === '' ? undefined : file.data_dir,
    lostDisks: file['fault_tolerance.machines'],
    leaseMs: file['bounds.max_hold_ms'],
    graceMs: file['bounds.grace_s'] * 1_000,
  });
}
