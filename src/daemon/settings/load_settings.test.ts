import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {assert} from 'chai';
import {stringify} from 'smol-toml';
import {loadSettings} from './load_settings.js';

type Table = Record<string, unknown>;

const dir = mkdtempSync(join(tmpdir(), 'settings-'));
const tokenFile = join(dir, 'token');
writeFileSync(tokenFile, 'secret\n');
suiteTeardown(() => rmSync(dir, {recursive: true}));

function createSettings(): Table {
  const peer = (port: number) => ({host: '127.0.0.1', port});
  return {
    node: 'a1',
    caller: peer(8000),
    admin: peer(8001),
    admin_token_file: tokenFile,
    data_dir: join(dir, 'data'),
    nodes: [
      {id: 'a1', zone: 'arbat', peer: peer(8002), voter: true},
      {id: 'a2', zone: 'arbat', peer: peer(8003)},
    ],
  };
}

function errorsOf(settings: Table): string[] {
  const file = join(dir, 'a1.toml');
  writeFileSync(file, stringify(settings));
  const loaded = loadSettings(file);
  return loaded.isErr
    ? loaded.error.map(line => line.replace(`${file}: `, ''))
    : [];
}

test('absent options get their defaults', () => {
  const file = join(dir, 'a1.toml');
  writeFileSync(file, stringify(createSettings()));
  const settings = loadSettings(file).unwrapOrElse(errors => {
    throw new Error(errors.join());
  });
  assert.equal(settings.log_level, 'info');
  assert.equal(settings.drain_notice_ms, 3_000);
  assert.equal(settings.http.max_connections, 10_000);
  assert.isFalse(settings.nodes[1]?.voter);
});

test('each wrong value is reported with its key, value and expected form', () => {
  const settings = {
    ...createSettings(),
    log_level: 'loud',
    drain_notice_ms: -1,
    admin: {host: 'localhost', port: 70_000},
    http: {headers_timeout_ms: '5s'},
  };
  assert.sameMembers(errorsOf(settings), [
    'log_level: got "loud"; expected one of "error", "warn", "info", "debug"',
    'drain_notice_ms: got -1; expected a whole number from 0 to 600000 ms',
    'admin.host: got "localhost"; expected an IP address, as a string',
    'admin.port: got 70000; expected a port from 0 to 65535',
    'http.headers_timeout_ms: got "5s"; expected a whole number from 100 to 60000 ms',
  ]);
});

// Guards against a misspelt option that silently has no effect.
test('an unknown key is an error', () => {
  const errors = errorsOf({
    ...createSettings(),
    data_dri: '/x',
    http: {port: 1},
  });
  assert.sameMembers(errors, [
    'data_dri: unknown key',
    'http.port: unknown key',
  ]);
});

test('a missing key is reported with its expected form', () => {
  const {admin, ...settings} = createSettings();
  assert.isDefined(admin);
  assert.deepEqual(errorsOf({...settings, caller: {host: '::1'}}), [
    'caller.port: missing; expected a port from 0 to 65535',
    'admin: missing; expected a table {host, port}',
  ]);
});

test('a node that is not listed in nodes is an error', () => {
  assert.deepEqual(errorsOf({...createSettings(), node: 'b1'}), [
    'node: got "b1"; expected one of "a1", "a2"',
  ]);
});

test('two nodes with the same id or the same address are an error', () => {
  const settings = createSettings();
  const [first] = settings['nodes'] as Table[];
  const [byId, byAddress] = errorsOf({
    ...settings,
    nodes: [first, {...first, voter: false}],
  });
  assert.match(byId!, /nodes\.\*\.id: got "a1" more than once/);
  assert.match(byAddress!, /127\.0\.0\.1 port 8002" more than once/);
});

test('a voter without a data folder is an error', () => {
  const settings = createSettings();
  delete settings['data_dir'];
  assert.deepEqual(errorsOf(settings), [
    'data_dir: missing; expected a path, as node "a1" is a voter',
  ]);
});

test('an even number of voters is an error', () => {
  const settings = createSettings();
  const nodes = (settings['nodes'] as Table[]).map(n => ({...n, voter: true}));
  assert.deepEqual(errorsOf({...settings, nodes}), [
    'nodes.*.voter: got 2 voters; expected 1, 3 or 5',
  ]);
});

test('a headers timeout longer than the request timeout is an error', () => {
  const http = {headers_timeout_ms: 2_000, request_timeout_ms: 1_000};
  assert.deepEqual(errorsOf({...createSettings(), http}), [
    'http.headers_timeout_ms: got 2000; expected no more than http.request_timeout_ms, 1000 ms',
  ]);
});

test('a token file that is absent or empty is an error', () => {
  const empty = join(dir, 'empty');
  writeFileSync(empty, ' \n');
  const [first] = errorsOf({...createSettings(), admin_token_file: empty});
  assert.match(first!, /^admin_token_file: .* is empty; expected/);
  const [second] = errorsOf({
    ...createSettings(),
    admin_token_file: join(dir, 'no'),
  });
  assert.match(second!, /^admin_token_file: .*ENOENT.*; expected/);
});

test('a file that is not TOML is reported as an error and does not throw', () => {
  const file = join(dir, 'bad.toml');
  writeFileSync(file, 'node = [');
  const loaded = loadSettings(file);
  assert.isTrue(loaded.isErr && loaded.error[0]?.startsWith(`${file}: `));
});
