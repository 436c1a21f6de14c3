import {spawnSync} from 'node:child_process';
import {
  chmodSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {parse} from 'smol-toml';

const DEPLOY_FILE = new URL('../../../deploy/system.toml', import.meta.url);
const {build} = parse(readFileSync(DEPLOY_FILE, 'utf8')) as {build: string};

function writeScript(path: string, text: string): void {
  writeFileSync(path, `#!/bin/sh\n${text}\n`);
  chmodSync(path, 0o755);
}

/**
 * Runs the build command beside installed packages whose bundler ends with
 * `bundlerExit`; returns the calls of npm.
 */
function buildWith(bundlerExit: number, installedAt: number): string[] {
  const dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  try {
    const modules = join(dir, 'node_modules');
    mkdirSync(join(modules, '.bin'), {recursive: true});
    mkdirSync(join(dir, 'bin'));
    writeScript(join(modules, '.bin', 'esbuild'), `exit ${bundlerExit}`);
    writeScript(join(dir, 'bin', 'npm'), `echo "$1" >> "${dir}/calls"`);
    writeFileSync(join(dir, 'package-lock.json'), '{}');
    utimesSync(join(dir, 'package-lock.json'), 1_000, 1_000);
    utimesSync(modules, installedAt, installedAt);
    const env = {PATH: `${dir}/bin:${process.env['PATH']}`};
    spawnSync('sh', ['-c', build], {cwd: dir, env});
    return readFileSync(join(dir, 'calls'), 'utf8').trim().split('\n');
  } finally {
    rmSync(dir, {recursive: true, force: true});
  }
}

test('the build uses packages that are newer than the lock file', () => {
  assert.deepEqual(buildWith(0, 2_000), ['run']);
});

test('the build installs packages that are older than the lock file', () => {
  assert.deepEqual(buildWith(0, 500), ['ci', 'run']);
});

// Guards against a system that does not start because its packages were copied
// from a machine with another processor.
test('the build installs packages whose bundler cannot run', () => {
  assert.deepEqual(buildWith(126, 2_000), ['ci', 'run']);
});
