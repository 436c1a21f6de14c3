import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';
import {ConfigState} from './config_state.js';

const {changeOf, classOf} = ConfigBench;

function newState(): ConfigState {
  return ConfigState.from(
    ConfigState.initial({
      version: 1,
      classes: {default: classOf('default')},
      tenants: {},
    }),
  );
}

test('of two changes based on one version, the second gets a diff', () => {
  const state = newState();
  assert.isTrue(state.apply(changeOf('k1', 1, 'a', 100)).isOk);
  const refused = state.apply(changeOf('k2', 1, 'a', 200));
  assert.isTrue(refused.isErr);
  if (refused.isErr) {
    assert.equal(refused.error.code, 'conflict');
    assert.equal(refused.error.version, 2);
    assert.deepEqual(refused.error.diff, {
      classes: {a: classOf('a', 100)},
      tenants: {},
    });
  }
  assert.equal(state.current.classes['a']!.target_ms, 100);
});

test('a resent change gets its first outcome, also after a snapshot', () => {
  const state = newState();
  state.apply(changeOf('k1', 1, 'a'));
  // Refused because version 3 does not exist yet; resent once it exists.
  assert.isTrue(state.apply(changeOf('k2', 3, 'b')).isErr);
  state.apply(changeOf('k3', 2, 'c'));
  const restored = ConfigState.from(state.toSnapshot());
  assert.deepEqual(
    restored.apply(changeOf('k1', 1, 'a')).unwrapOr({version: 0}),
    {version: 2},
  );
  assert.isTrue(restored.apply(changeOf('k2', 3, 'b')).isErr);
  assert.equal(restored.current.version, 3);
});

test('a change with the key of another change is refused', () => {
  const state = newState();
  state.apply(changeOf('k1', 1, 'a'));
  const reused = state.apply(changeOf('k1', 2, 'b'));
  assert.isTrue(reused.isErr);
  if (reused.isErr) assert.equal(reused.error.code, 'key_reused');
  assert.equal(state.current.version, 2);
});

test('a change with one invalid part has no effect', () => {
  const state = newState();
  const before = state.current;
  const change = {...changeOf('k1', 1, 'a'), delete_classes: ['absent']};
  const refused = state.apply(change);
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.equal(refused.error.code, 'invalid');
  assert.deepEqual(state.current, before);
});

test('a diff contains deletions after its base version only', () => {
  const state = newState();
  state.apply(changeOf('k1', 1, 'a'));
  const removal = {
    ...changeOf('k2', 2, 'b'),
    put_classes: [],
    delete_classes: ['a'],
  };
  state.apply(removal);
  assert.deepEqual(state.diffSince(2), {classes: {a: null}, tenants: {}});
  assert.deepEqual(state.diffSince(3), {classes: {}, tenants: {}});
});
