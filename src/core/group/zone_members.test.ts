import {assert} from 'chai';
import {zoneMembers} from './zone_members.js';

function nodes(...ids: string[]) {
  const zones: Record<string, string> = {a: 'arbat', m: 'medeu', p: 'panfilov'};
  return ids.map(id => ({id, zone: zones[id[0]!]!}));
}

test('a zone of three daemons needs no witness', () => {
  const all = nodes('p1', 'a3', 'a1', 'a2', 'm1');
  assert.deepEqual(zoneMembers('arbat', all), {
    members: ['a1', 'a2', 'a3'],
    witnesses: [],
  });
});

test('a smaller zone gets witnesses from the next zones by name', () => {
  const all = nodes('p1', 'p2', 'a1', 'm1');
  assert.deepEqual(zoneMembers('arbat', all), {
    members: ['a1', 'm1', 'p1'],
    witnesses: ['m1', 'p1'],
  });
});

test('the first zone follows the last one', () => {
  const all = nodes('p1', 'p2', 'a1', 'a2', 'm1');
  assert.deepEqual(zoneMembers('panfilov', all).members, ['p1', 'p2', 'a1']);
});

// Guards against daemons that order the members differently, as two of them
// could then choose the same epoch.
test('members do not depend on the order of the settings', () => {
  const one = zoneMembers('arbat', nodes('a2', 'a1', 'p1', 'm1'));
  const two = zoneMembers('arbat', nodes('m1', 'p1', 'a1', 'a2'));
  assert.deepEqual(one, two);
});

// Guards against a group of two members, where the loss of one daemon would
// stop both zones.
test('a deployment of two daemons has groups of one member', () => {
  const all = nodes('a1', 'p1');
  assert.deepEqual(zoneMembers('arbat', all).members, ['a1']);
  assert.deepEqual(zoneMembers('panfilov', all).members, ['p1']);
  assert.deepEqual(zoneMembers('arbat', nodes('a1', 'a2')).members, ['a1']);
});

test('a group has an odd number of members, at most five', () => {
  const four = nodes('a1', 'a2', 'a3', 'a4');
  assert.lengthOf(zoneMembers('arbat', four).members, 3);
  const eight = nodes('a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8');
  assert.lengthOf(zoneMembers('arbat', eight).members, 5);
});
