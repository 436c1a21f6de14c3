import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {readPlatformSettings} from './read_platform_settings.js';

const CORE = [
  'node_name=core-a-1',
  'role=core',
  'ip=10.1.0.16',
  'zone=a',
  'listen.control=10.1.0.16:8166',
  'internal_port_range=7720,7735',
  'seeds=10.1.0.16:8166,10.2.0.33:8166',
  'bootstrap=true',
  'data_dir=/data',
  'fault_tolerance.machines=2',
  'bounds.max_hold_ms=1000',
  'bounds.grace_s=6',
  'limits.cpu_share=0.324',
  'bounds.not_known_yet=x=y',
];

function read(lines: readonly string[]) {
  const dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  try {
    const path = join(dir, 'settings.conf');
    writeFileSync(path, lines.join('\n'));
    return readPlatformSettings(path);
  } finally {
    rmSync(dir, {recursive: true});
  }
}

test("the platform's keys are translated and unknown keys are ignored", () => {
  const settings = read(CORE);
  assert.deepEqual(settings.unwrapOr(undefined as never), {
    node: 'core-a-1',
    ip: '10.1.0.16',
    zone: 'a',
    callers: undefined,
    readiness: undefined,
    control: '10.1.0.16:8166',
    peerPort: 7720,
    seeds: ['10.1.0.16', '10.2.0.33'],
    isFirstStart: true,
    dataDir: '/data',
    lostDisks: 2,
    leaseMs: 1_000,
    graceMs: 6_000,
    processorShare: 0.324,
  });
});

test('a missing key or a wrong number is reported with its key', () => {
  const without = (name: string) => CORE.filter(line => !line.startsWith(name));
  const noIp = read(without('ip='));
  assert.include(noIp.isErr ? noIp.error : '', 'ip');
  const noNumber = read([...without('bounds.grace_s'), 'bounds.grace_s=six']);
  assert.include(noNumber.isErr ? noNumber.error : '', 'bounds.grace_s');
  // A use of the processor relative to nothing would be infinite.
  const noShare = read([...without('limits.'), 'limits.cpu_share=0']);
  assert.include(noShare.isErr ? noShare.error : '', 'limits.cpu_share');
});

test('a missing file is reported as an error and does not throw', () => {
  const res = readPlatformSettings('/does/not/exist');
  assert.include(res.isErr ? res.error : '', 'settings');
});
