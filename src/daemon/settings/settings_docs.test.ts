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

/** Paths of all options below a schema. */
function options(schema: Schema, path: string): string[] {
  const inner =
    schema.wrapped ?? (schema.pipe?.[0] !== schema && schema.pipe?.[0]);
  if (inner) return options(inner, path);
  if (schema.item) return options(schema.item, `${path}[]`);
  if (!schema.entries) return [path];
  return Object.entries(schema.entries).flatMap(([key, entry]) =>
    options(entry, path === '' ? key : `${path}.${key}`),
  );
}

test('every option is on the page for operators', () => {
  const page = readFileSync(PAGE, 'utf8');
  const all = options(Settings as unknown as Schema, '');
  assert.isAtLeast(all.length, 20);
  for (const option of all) assert.include(page, `\`${option}\``);
});

test('the settings file on the page for operators is valid', () => {
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
