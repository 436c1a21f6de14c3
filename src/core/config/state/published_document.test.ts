import {assert} from 'chai';
import {ConfigState} from './config_state.js';

function state(): ConfigState {
  const initial = {version: 1, classes: {}, tenants: {}};
  return ConfigState.from(ConfigState.initial(initial));
}

test('the document with the highest revision is in force', () => {
  const config = state();
  config.publish({revision: 4, content: 'four'});
  config.publish({revision: 9, content: 'nine'});
  config.publish({revision: 6, content: 'six'});
  assert.equal(config.current.document?.content, 'nine');
});

test('other content with the current revision changes nothing', () => {
  const config = state();
  const first = config.publish({revision: 4, content: 'first'});
  const second = config.publish({revision: 4, content: 'second'});
  assert.deepEqual(second, first);
  assert.equal(config.current.document?.content, 'first');
});

test('a document and its version are restored from a snapshot', () => {
  const config = state();
  config.publish({revision: 4, content: 'four'});
  const restored = ConfigState.from(config.toSnapshot());
  assert.equal(restored.current.document?.revision, 4);
  assert.isDefined(restored.documentSince(1));
  assert.isUndefined(restored.documentSince(2));
});
