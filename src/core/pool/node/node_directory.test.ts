import {assert} from 'chai';
import {NodeDirectory} from './node_directory.js';

// After the seeds have been replaced, only other nodes may know the leader.
test('a node known from gossip is contacted, but passed on only when seen', () => {
  const directory = new NodeDirectory('e', ['c1']);
  directory.recordGossip(['c2', 'e'], 'core', 0);
  assert.sameMembers(directory.coreIds(1_000), ['c1', 'c2']);
  assert.deepEqual(directory.seenIds('core', 1_000), []);
  assert.isTrue(directory.recordSeen('c2', 'core', 1_000));
  assert.deepEqual(directory.seenIds('core', 1_000), ['c2']);
});

test('silent nodes are removed, seeds are not', () => {
  const directory = new NodeDirectory('e', ['c1']);
  directory.recordSeen('c2', 'core', 0);
  assert.deepEqual(directory.coreIds(60_000), ['c1']);
});

test('the leader of an older term is ignored', () => {
  const directory = new NodeDirectory('e', []);
  const claim = {token: 0, isFallback: false, revision: 1, heardAt: 0};
  directory.claims.record({...claim, node: 'c2', term: 5});
  directory.claims.record({...claim, node: 'c1', term: 4});
  assert.equal(directory.claims.dispatcherOf('z', 100)?.node, 'c2');
  assert.isUndefined(directory.claims.dispatcherOf('z', 5_000));
});
