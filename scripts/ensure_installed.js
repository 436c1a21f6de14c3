import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';

// A fresh clone has no node_modules; the documented commands install it.
if (
  !existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))
) {
  const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
    cwd: new URL('..', import.meta.url),
    stdio: 'inherit',
  });
  process.exit(status ?? 1);
}
