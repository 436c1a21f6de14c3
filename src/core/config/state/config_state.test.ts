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

test('of two changes with equal versions one wins and one gets the diff', () => {
  const state = newState();
  assert.isTrue(state.apply(changeOf('k1', 1, 'a', 100)).isOk);
  const lost = state.apply(changeOf('k2', 1, 'a', 200));
  assert.isTrue(lost.isErr);
  if (lost.isErr) {
    assert.equal(lost.error.code, 'conflict');
    assert.equal(lost.error.version, 2);
    assert.deepEqual(lost.error.diff, {
      classes: {a: classOf('a', 100)},
      tenants: {},
    });
  }
  assert.equal(state.current.classes['a']!.target_ms, 100);
});

test('a resent change keeps its first outcome, also through a snapshot', () => {
  const state = newState();
  state.apply(changeOf('k1', 1, 'a'));
  // Expects a version that does not exist yet, and is resent when it does.
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

test('a key of another change is refused', () => {
  const state = newState();
  state.apply(changeOf('k1', 1, 'a'));
  const reused = state.apply(changeOf('k1', 2, 'b'));
  assert.isTrue(reused.isErr);
  if (reused.isErr) assert.equal(reused.error.code, 'key_reused');
  assert.equal(state.current.version, 2);
});

test('a change is refused as a whole when one part is wrong', () => {
  const state = newState();
  const before = state.current;
  const change = {...changeOf('k1', 1, 'a'), delete_classes: ['absent']};
  const refused = state.apply(change);
  assert.isTrue(refused.isErr);
  if (refused.isErr) assert.equal(refused.error.code, 'invalid');
  assert.deepEqual(state.current, before);
});

test('a difference names deletions until they are forgotten', () => {
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
