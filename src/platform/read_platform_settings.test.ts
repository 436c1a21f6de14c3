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
  'zones.a=north',
  'zones.b=south',
  'zones.=ignored',
  'listen.control=10.1.0.16:8166',
  'internal_port_range=7720,7735',
  'seeds=10.1.0.16:8166,10.2.0.33:8166',
  'bootstrap=true',
  'data_dir=/data',
  'fault_tolerance.machines=2',
  'bounds.max_hold_ms=1000',
  'bounds.grace_s=6',
  'limits.memory_mb=350',
  'limits.max_open_files=4100',
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
    zones: new Map([
      ['a', 'north'],
      ['b', 'south'],
    ]),
    callers: undefined,
    readiness: undefined,
    control: '10.1.0.16:8166',
    peerPort: 7720,
    seeds: ['10.1.0.16', '10.2.0.33'],
    isFirstStart: true,
    dataDir: '/data',
    lostDisks: 2,
    leaseMs: 1_000,
    resendMs: 1_300,
    remoteFactor: 2,
    graceMs: 6_000,
    memoryBytes: 350 * 1_048_576,
    maxOpenFiles: 4_100,
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

// Guards against a factor fixed in the code: deployments have 2 or 3.
test('the slowdown outside the data rack is read, and is at least 1', () => {
  const factorOf = (text: string) =>
    read([...CORE, `bounds.remote_factor=${text}`]);
  assert.equal(factorOf('3').unwrapOr(undefined as never).remoteFactor, 3);
  const tooSmall = factorOf('0.5');
  const detail = tooSmall.isErr ? tooSmall.error : '';
  assert.include(detail, 'bounds.remote_factor');
});

test('a missing file is reported as an error and does not throw', () => {
  const res = readPlatformSettings('/does/not/exist');
  assert.include(res.isErr ? res.error : '', 'settings');
});

// Guards against a process that does not start, or grants no leases, because an
// empty number is read as 0.
test('empty numbers have their defaults', () => {
  const keys = [
    'fault_tolerance.machines',
    'bounds.max_hold_ms',
    'bounds.grace_s',
    'bounds.remote_factor',
    'limits.cpu_share',
  ];
  const withoutKeys = CORE.filter(line => !keys.includes(line.split('=')[0]!));
  const empty = read([...withoutKeys, ...keys.map(key => `${key}=`)]);
  assert.isTrue(empty.isOk);
  assert.deepEqual(empty, read(withoutKeys));
});
