import {assert} from 'chai';
import {NodeDirectory} from './node_directory.js';

// After a turnover of the seeds the lead may be known to others only.
test('a node that others know is tried, and told of only when heard', () => {
  const directory = new NodeDirectory('e', ['c1']);
  directory.recordGossip(['c2', 'e'], 'core', 0);
  assert.sameMembers(directory.coreIds(1_000), ['c1', 'c2']);
  assert.deepEqual(directory.seenIds('core', 1_000), []);
  assert.isTrue(directory.recordSeen('c2', 'core', 1_000));
  assert.deepEqual(directory.seenIds('core', 1_000), ['c2']);
});

test('nodes that are gone are forgotten, seeds are not', () => {
  const directory = new NodeDirectory('e', ['c1']);
  directory.recordSeen('c2', 'core', 0);
  assert.deepEqual(directory.coreIds(60_000), ['c1']);
});

test('the lead of an older term is ignored', () => {
  const directory = new NodeDirectory('e', []);
  const lead = {token: 0, isFallback: false, revision: 1, heardAt: 0};
  directory.recordClaim({...lead, node: 'c2', term: 5});
  directory.recordClaim({...lead, node: 'c1', term: 4});
  assert.equal(directory.dispatcher(100)?.node, 'c2');
  assert.isUndefined(directory.dispatcher(5_000));
});
