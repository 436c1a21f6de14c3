import {readFileSync, readdirSync} from 'node:fs';
import {assert} from 'chai';

const ROOT = new URL('../../../../', import.meta.url);
const CALL =
  /(?:recordJobEvent|recordStateChange|incrementCounter|info|warn)\(\s*'([a-z_]+)'/g;

// Guards against an event that is added in the code and not documented.
test('every event of the pool is documented for operators', () => {
  const page = readFileSync(new URL('docs/OPERATIONS.md', ROOT), 'utf8');
  const folders = ['src/core/pool/', 'src/platform/', 'src/daemon/pool/'];
  const missing = new Set<string>();
  for (const folder of folders) {
    const names = readdirSync(new URL(folder, ROOT), {
      encoding: 'utf8',
      recursive: true,
    });
    for (const file of names) {
      if (!file.endsWith('.ts') || file.endsWith('.test.ts')) continue;
      const text = readFileSync(new URL(folder + file, ROOT), 'utf8');
      for (const [, event] of text.matchAll(CALL)) {
        if (!page.includes(`\`${event!}\``)) missing.add(event!);
      }
    }
  }
  assert.deepEqual([...missing], []);
});
