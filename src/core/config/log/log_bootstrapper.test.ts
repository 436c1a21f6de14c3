import {assert} from 'chai';
import {ConfigBench} from '../../../../test-support/fakes/config_bench.js';

// Guards against a deployment that never starts because the process of the first
// voter was started again before it had created the log.
test('the log is created if any voter starts for the first time', () => {
  const bench = new ConfigBench({mayForm: node => node === 'v3'});
  bench.startAll();
  assert.isDefined(bench.leader);
});

test('no log is created if no voter starts for the first time', () => {
  const bench = new ConfigBench({mayForm: () => false});
  for (const id of bench.ids) bench.start(id);
  bench.clock.advance(30_000);
  assert.isUndefined(bench.leader);
});

// Guards against a second log beside the existing one, which would lose what was
// acknowledged.
test('a first voter that lost its disk joins the existing log', () => {
  const bench = new ConfigBench({mayForm: node => node !== 'v1'});
  bench.startAll();
  const change = ConfigBench.changeOf('k', 1, 'c');
  const accepted = bench.request('v2', {kind: 'change', change});
  assert.include(accepted, {kind: 'accepted'});
  bench.crashAndWipe('v1');
  bench.start('v1');
  bench.waitUntil('the change', () => bench.version('v1') === 2);
  bench.clock.advance(10_000);
  assert.equal(bench.version('v1'), 2);
});

// The settings of a replaced node may name nodes that are no voters, whose
// processes run since the first start.
test('a new first voter creates no second log with nodes that follow one', () => {
  const bench = new ConfigBench({spares: 3, mayForm: node => node !== 's1'});
  bench.startAll();
  const logOf = (id: string) => bench.node(id).logMember?.store.voteState.log;
  const log = logOf('v1');
  assert.isDefined(log);
  bench.crashAndWipe('s1');
  bench.seeds = ['s1', 's2', 's3'];
  bench.start('s1');
  bench.clock.advance(10_000);
  for (const id of bench.seeds) assert.include([undefined, log], logOf(id), id);
});
