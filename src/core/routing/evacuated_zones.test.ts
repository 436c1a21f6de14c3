import {assert} from 'chai';
import {EvacuatedZones} from './evacuated_zones.js';

function bench() {
  const node = {config: {version: 1} as Config};
  return {node, zones: new EvacuatedZones(() => node.config)};
}

interface Config {
  readonly version: number;
  readonly evacuated?: readonly string[];
}

test('an evacuation takes effect without a tick', () => {
  const {node, zones} = bench();
  assert.isFalse(zones.has('a'));
  node.config = {version: 2, evacuated: ['a']};
  assert.isTrue(zones.has('a'));
  assert.equal(zones.version, 2);
});

// Without this, the zone would get its whole load before the first step.
test('the end of an evacuation takes effect with the time of its return', () => {
  const {node, zones} = bench();
  node.config = {version: 2, evacuated: ['a', 'b']};
  assert.isTrue(zones.has('a'));
  node.config = {version: 3, evacuated: ['b']};
  assert.isTrue(zones.has('a'));
  zones.tick(50);
  assert.isFalse(zones.has('a'));
  assert.isTrue(zones.has('b'));
  assert.deepEqual([...zones.restoredAt], [['a', 50]]);
});

test('a zone that is evacuated again returns anew', () => {
  const {node, zones} = bench();
  node.config = {version: 2, evacuated: ['a']};
  zones.tick(0);
  node.config = {version: 3, evacuated: []};
  zones.tick(10);
  node.config = {version: 4, evacuated: ['a']};
  zones.tick(20);
  assert.isTrue(zones.has('a'));
  node.config = {version: 5, evacuated: []};
  zones.tick(30);
  assert.deepEqual([...zones.restoredAt], [['a', 30]]);
});

// A document published later carries the list along.
test('a configuration without zones evacuates none', () => {
  const {zones} = bench();
  zones.tick(0);
  assert.equal(zones.all.size, 0);
  assert.equal(new EvacuatedZones(() => undefined).version, 0);
});
