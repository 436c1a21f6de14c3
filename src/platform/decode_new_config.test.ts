import {assert} from 'chai';
import {decodeConfig} from './decode_config.js';
import {decodeNewConfig} from './decode_new_config.js';

type Fields = Record<string, unknown>;

const ROUTE: Fields = {
  name: 'r1',
  host: 'a.example',
  path_prefix: '/p/',
  type: 'unsafe',
  timeout_ms: 1_500,
  target_duration_ms: 60,
  priority: 1,
  backend: 's1',
  max_attempts: 4,
  stretch: 1.6,
};
const BACKEND: Fields = {
  name: 's1',
  health_check_path: '/health',
  max_connections: 64,
  protocol: 'h1',
  tls: false,
  enforces_capacity: true,
  standby: false,
};
const LIMITS: Fields = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};
/** Values of which at most one type fits any field. */
const VALUES = ['text', 5, true, null, [], {}, ['x'], {a: 1}];

const configOf = (change: Fields = {}): Fields => ({
  version: 7,
  routes: [{...ROUTE}, {...ROUTE, path_prefix: '/q/'}],
  backends: [{...BACKEND}],
  limits: {...LIMITS},
  ...change,
});
const withRoute = (change: Fields) =>
  configOf({routes: [{...ROUTE, ...change}]});
const withBackend = (change: Fields) =>
  configOf({backends: [{...BACKEND, ...change}]});
const withLimits = (change: Fields) =>
  configOf({limits: {...LIMITS, ...change}});

function assertInvalid(body: Fields, detail: string): void {
  assert.isTrue(decodeNewConfig(body).isErr, detail);
}

test('a complete configuration is accepted', () => {
  assert.isTrue(decodeNewConfig(configOf()).isOk);
});

// Guards against acknowledging a configuration of which a part is missing.
test('a configuration without one of its parts is refused', () => {
  for (const part of Object.keys(configOf())) {
    assertInvalid(configOf({[part]: undefined}), part);
  }
});

// Guards against acknowledging a configuration that cannot be read in full,
// although the dispatcher does not use the field.
test('a configuration with a field of another type is refused', () => {
  for (const value of VALUES) {
    const hasType = (other: unknown) =>
      typeof other === typeof value && typeof value !== 'object';
    const fields = [
      ...Object.entries(ROUTE).map(f => [...f, withRoute] as const),
      ...Object.entries(BACKEND).map(f => [...f, withBackend] as const),
      ...Object.entries(LIMITS).map(f => [...f, withLimits] as const),
    ];
    for (const [field, valid, change] of fields) {
      if (hasType(valid)) continue;
      assertInvalid(change({[field]: value}), `${field} ${String(value)}`);
    }
    const isObject = typeof value === 'object' && !Array.isArray(value);
    if (isObject && value !== null) continue;
    assertInvalid(configOf({limits: value}), `limits ${String(value)}`);
    // A route without advice may say so with null.
    if (value !== null) assertInvalid(withRoute({advice: value}), 'advice');
  }
});

test('a negative limit is refused', () => {
  for (const field of Object.keys(LIMITS)) {
    assertInvalid(withLimits({[field]: -1}), field);
  }
});

test('two services of one name are refused', () => {
  assertInvalid(configOf({backends: [BACKEND, BACKEND]}), 'backends');
});

// Guards against a queue of which it depends on the spelling of the request's
// host whether it gets a job.
test('two routes whose hosts differ only in case are refused', () => {
  const routes = [ROUTE, {...ROUTE, name: 'r2', host: 'A.Example'}];
  assertInvalid(configOf({routes}), 'hosts');
});

// Guards against a route that was acknowledged and is answered 404.
test('a route is found by its host in any case', () => {
  const table = decodeNewConfig(withRoute({host: 'A.Example'}));
  assert.isTrue(table.isOk);
  if (table.isErr) return;
  for (const host of ['a.example', 'A.EXAMPLE', 'A.Example']) {
    assert.equal(table.value.find(host, '/p/x')?.name, 'r1', host);
  }
});

// Guards against refusing the configurations of later versions and of
// deployments with fewer features.
test('unknown fields are allowed and unused ones may be missing', () => {
  const {name, host, path_prefix, timeout_ms, backend} = ROUTE;
  const least = {name, host, path_prefix, timeout_ms, backend};
  const bodies = [
    configOf({routes: [least], backends: [{name: 's1'}], limits: {}}),
    configOf({new_part: 1}),
    withRoute({new_field: 'x', advice: {decision_ms: 5, valid_ms: 1_000}}),
    withBackend({new_field: 'x'}),
    withLimits({new_field: 'x'}),
  ];
  for (const body of bodies) assert.isTrue(decodeNewConfig(body).isOk);
});

// Guards against an upgrade that takes a configuration out of force that an
// earlier version has acknowledged.
test('an acknowledged configuration stays readable', () => {
  const earlier = configOf({limits: undefined, backends: [BACKEND, BACKEND]});
  assert.isTrue(decodeConfig(earlier).isOk);
});
