import {existsSync} from 'node:fs';
import {spawnSync} from 'node:child_process';

// Installs the dependencies in a fresh clone, so that the documented npm
// scripts work without a separate step.
if (
  !existsSync(new URL('../node_modules/.package-lock.json', import.meta.url))
) {
  const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
    cwd: new URL('..', import.meta.url),
    stdio: 'inherit',
  });
  process.exit(status ?? 1);
}
