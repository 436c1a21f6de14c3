import {assert} from 'chai';
import {ConfigBench} from '../../../test-support/fakes/config_bench.js';
import type {ConfigNode} from './config_node.js';

type Answer = Parameters<Parameters<ConfigNode['evacuate']>[2]>[0];

function submit(bench: ConfigBench, id: string, isEvacuated: boolean) {
  const pending: {answer: Answer | undefined} = {answer: undefined};
  const request = {zone: 'a', isEvacuated};
  bench.node(id).evacuate(request, bench.clock.now(), answer => {
    pending.answer = answer;
  });
  return pending;
}

/** Returns the time until the answer, in ms. */
function order(bench: ConfigBench, id: string, isEvacuated: boolean): number {
  const pending = submit(bench, id, isEvacuated);
  const tookMs = bench.waitUntil('an answer', () => !!pending.answer);
  assert.include(pending.answer, {kind: 'accepted'});
  return tookMs;
}

function evacuatedAt(bench: ConfigBench, id: string) {
  return bench.node(id).source.current().evacuated;
}

test('an order reaches all nodes within 1 s, also by way of a follower', () => {
  const bench = new ConfigBench({followers: 2});
  bench.startAll();
  bench.waitForLeader();
  assert.isBelow(order(bench, 'f1', true), 1_000);
  bench.clock.advance(1_000);
  for (const id of bench.ids) assert.deepEqual(evacuatedAt(bench, id), ['a']);
  order(bench, 'f2', false);
  bench.clock.advance(1_000);
  for (const id of bench.ids) assert.deepEqual(evacuatedAt(bench, id), []);
});

test('an acknowledged order survives a crash of all nodes', () => {
  const bench = new ConfigBench({snapshotEntries: 2});
  bench.startAll();
  const leader = bench.waitForLeader();
  order(bench, leader, true);
  for (const id of bench.ids) bench.crash(id);
  for (const id of bench.ids) bench.start(id);
  const successor = bench.waitForLeader();
  const {state} = bench.node(successor).logMember!;
  assert.deepEqual(state?.current.evacuated, ['a']);
});

// A node must not serve with the configuration before the order.
test('a restarted node has the order before it hears from a leader', () => {
  const bench = new ConfigBench();
  bench.startAll();
  order(bench, bench.waitForLeader(), true);
  bench.clock.advance(1_000);
  for (const id of bench.ids) bench.crash(id);
  bench.start('v1');
  assert.deepEqual(evacuatedAt(bench, 'v1'), ['a']);
});

test('an order without a majority is refused within 5 s', () => {
  const bench = new ConfigBench();
  bench.startAll();
  bench.waitForLeader();
  bench.crash('v2');
  bench.crash('v3');
  const pending = submit(bench, 'v1', true);
  const tookMs = bench.waitUntil('an answer', () => !!pending.answer);
  assert.isAtMost(tookMs, 5_000);
  assert.include(pending.answer, {code: 'unavailable'});
});

test('a repeated order of a lost leader changes nothing', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  order(bench, leader, true);
  bench.crash(leader);
  const successor = bench.waitForLeader();
  const {version} = bench.node(successor).logMember!.state!.current;
  order(bench, successor, true);
  assert.equal(
    bench.node(successor).logMember!.state!.current.version,
    version,
  );
});

test('racing orders are both acknowledged and all nodes agree', () => {
  const bench = new ConfigBench({followers: 2});
  bench.startAll();
  bench.waitForLeader();
  for (let round = 0; round < 10; round += 1) {
    const pending = bench.ids.map((id, at) =>
      submit(bench, id, (at + round) % 2 === 0),
    );
    bench.waitUntil('all answers', () => pending.every(p => !!p.answer));
    for (const {answer} of pending) assert.include(answer, {kind: 'accepted'});
  }
  bench.clock.advance(3_000);
  const shown = bench.ids.map(id => String(evacuatedAt(bench, id)));
  assert.lengthOf([...new Set(shown)], 1);
});

// The caller has given up and ended the evacuation at another node meanwhile.
test('an order whose caller has left is not made later', () => {
  const bench = new ConfigBench();
  bench.startAll();
  const leader = bench.waitForLeader();
  const cut = bench.voters.find(id => id !== leader)!;
  bench.peers.isolate([cut], bench.ids);
  let isWanted = true;
  let answer: Answer | undefined;
  bench.node(cut).evacuate(
    {zone: 'a', isEvacuated: true},
    bench.clock.now(),
    res => (answer = res),
    () => isWanted,
  );
  bench.clock.advance(1_000);
  isWanted = false;
  order(bench, leader, false);
  bench.peers.heal();
  bench.clock.advance(10_000);
  assert.include(answer, {code: 'unavailable'});
  for (const id of bench.ids) assert.isUndefined(evacuatedAt(bench, id));
});
