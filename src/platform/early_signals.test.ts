import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {assert} from 'chai';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));
const SETTINGS = [
  'node_name=n',
  'ip=127.0.0.1',
  'zone=z',
  'internal_port_range=7720,7735',
  // Ends the process with an exit code of its own, after the signal.
  'bounds.grace_s=never',
].join('\n');

// Guards against a process that ends because its settings change while it starts.
// The settings are a pipe, so that the signal arrives before they are read.
test('SIGHUP does not end a process that is starting', async () => {
  const dir = mkdtempSync(join(tmpdir(), 'pimentoyoke-'));
  const path = join(dir, 'settings');
  spawnSync('mkfifo', [path]);
  const child = spawn(process.execPath, [MAIN, 'entry'], {
    env: {...process.env, PIMENTOYOKE_SETTINGS: path},
    stdio: 'ignore',
  });
  try {
    const exited = once(child, 'exit');
    // Resolves when the process reads its settings.
    const pipe = await open(path, 'w');
    child.kill('SIGHUP');
    await pipe.writeFile(SETTINGS);
    await pipe.close();
    const [code, signal] = (await exited) as [number | null, string | null];
    assert.deepEqual({code, signal}, {code: 78, signal: null});
  } finally {
    child.kill('SIGKILL');
    rmSync(dir, {recursive: true, force: true});
  }
});
