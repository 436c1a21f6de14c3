import {assert} from 'chai';
import {ConfigSnapshot} from './config_snapshot.js';
import {ConfigState} from './config_state.js';
import * as v from 'valibot';

let keys = 0;

function state(): ConfigState {
  const initial = {version: 1, classes: {}, tenants: {}};
  return ConfigState.from(ConfigState.initial(initial));
}

function give(config: ConfigState, zone: string, isEvacuated: boolean) {
  keys += 1;
  const order = {zone, isEvacuated, key: `k${keys}`, after: config.lastOrder};
  config.evacuate(order);
  return order;
}

test('an order raises the version only if it changes something', () => {
  const config = state();
  give(config, 'a', false);
  assert.equal(config.current.version, 1);
  give(config, 'a', true);
  give(config, 'a', true);
  assert.equal(config.current.version, 2);
  assert.deepEqual(config.current.evacuated, ['a']);
});

// The router sends an order again when the reply is late.
test('a copy of an applied order does not undo a later order', () => {
  const config = state();
  const order = give(config, 'a', true);
  give(config, 'a', false);
  assert.isTrue(config.evacuate(order).isOk);
  assert.deepEqual(config.current.evacuated, []);
});

// A return that changed nothing is acknowledged as well.
test('a delayed order does not undo a later order that changed nothing', () => {
  const config = state();
  const order = {zone: 'a', isEvacuated: true, key: 'late', after: 0};
  give(config, 'a', false);
  const outcome = config.evacuate(order);
  assert.isTrue(outcome.isErr && outcome.error.code === 'conflict');
  assert.isUndefined(config.current.evacuated);
});

test('orders for other zones do not make an order stale', () => {
  const config = state();
  const order = {zone: 'a', isEvacuated: true, key: 'a1', after: 0};
  give(config, 'b', true);
  assert.isTrue(config.evacuate(order).isOk);
  assert.deepEqual(config.current.evacuated, ['a', 'b']);
});

test('orders survive a snapshot, and with them the protection from copies', () => {
  const config = state();
  const order = give(config, 'a', true);
  give(config, 'a', false);
  give(config, 'b', true);
  const stored = JSON.parse(JSON.stringify(config.toSnapshot())) as unknown;
  const restored = ConfigState.from(v.parse(ConfigSnapshot, stored));
  restored.evacuate(order);
  assert.deepEqual(restored.current.evacuated, ['b']);
  assert.equal(restored.lastOrder, config.lastOrder);
  assert.deepEqual(restored.evacuatedSince(3), ['b']);
  assert.isUndefined(restored.evacuatedSince(4));
});

// Snapshots of earlier releases have none of the fields.
test('a snapshot without orders has no evacuated zones', () => {
  const {zone_orders, evacuation_version, ...old} = state().toSnapshot();
  assert.isDefined(zone_orders);
  assert.equal(evacuation_version, 0);
  const config = ConfigState.from(v.parse(ConfigSnapshot, old));
  assert.isUndefined(config.current.evacuated);
  give(config, 'a', true);
  assert.deepEqual(config.current.evacuated, ['a']);
});
