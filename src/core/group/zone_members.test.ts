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

test('a smaller zone gets witnesses of the next zones by name', () => {
  const all = nodes('p1', 'p2', 'a1', 'm1');
  assert.deepEqual(zoneMembers('arbat', all), {
    members: ['a1', 'm1', 'p1'],
    witnesses: ['m1', 'p1'],
  });
});

test('the next zone after the last one is the first', () => {
  const all = nodes('p1', 'p2', 'a1', 'a2', 'm1');
  assert.deepEqual(zoneMembers('panfilov', all).members, ['p1', 'p2', 'a1']);
});

test('the order of the settings does not matter', () => {
  // Two daemons that disagree on the order would pick equal epochs.
  const one = zoneMembers('arbat', nodes('a2', 'a1', 'p1', 'm1'));
  const two = zoneMembers('arbat', nodes('m1', 'p1', 'a1', 'a2'));
  assert.deepEqual(one, two);
});

test('a deployment of two daemons has groups of one', () => {
  // In a group of two, the loss of one would stop both zones.
  const all = nodes('a1', 'p1');
  assert.deepEqual(zoneMembers('arbat', all).members, ['a1']);
  assert.deepEqual(zoneMembers('panfilov', all).members, ['p1']);
  assert.deepEqual(zoneMembers('arbat', nodes('a1', 'a2')).members, ['a1']);
});

test('a group is odd and has at most five members', () => {
  const four = nodes('a1', 'a2', 'a3', 'a4');
  assert.lengthOf(zoneMembers('arbat', four).members, 3);
  const eight = nodes('a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7', 'a8');
  assert.lengthOf(zoneMembers('arbat', eight).members, 5);
});
