import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {loadSettings} from './load_settings.js';
import {Settings} from './settings.js';

const PAGE = new URL('../../../../docs/operations.md', import.meta.url);

interface Schema {
  readonly type: string;
  readonly entries?: Readonly<Record<string, Schema>>;
  readonly wrapped?: Schema;
  readonly item?: Schema;
  readonly pipe?: readonly Schema[];
}

/** Lists the paths of all options in a schema. */
function listOptions(schema: Schema, path: string): string[] {
  const inner =
    schema.wrapped ?? (schema.pipe?.[0] !== schema && schema.pipe?.[0]);
  if (inner) return listOptions(inner, path);
  if (schema.item) return listOptions(schema.item, `${path}[]`);
  if (!schema.entries) return [path];
  return Object.entries(schema.entries).flatMap(([key, entry]) =>
    listOptions(entry, path === '' ? key : `${path}.${key}`),
  );
}

// Guards against an option that is added in the code and not documented.
test('every option is documented for operators', () => {
  const page = readFileSync(PAGE, 'utf8');
  const all = listOptions(Settings as unknown as Schema, '');
  assert.isAtLeast(all.length, 20);
  for (const option of all) assert.include(page, `\`${option}\``);
});

test('the documented example of a settings file is valid', () => {
  const [, toml] = /```toml\n(.*?)```/s.exec(readFileSync(PAGE, 'utf8'))!;
  const dir = mkdtempSync(join(tmpdir(), 'settings-'));
  const token = join(dir, 'token');
  writeFileSync(token, 'secret');
  const file = join(dir, 'a1.toml');
  const tokenKey = /^admin_token_file = .*$/m;
  writeFileSync(file, toml!.replace(tokenKey, `admin_token_file = "${token}"`));
  const loaded = loadSettings(file);
  rmSync(dir, {recursive: true});
  assert.deepEqual(loaded.isErr && loaded.error, false);
});
