import {assert} from 'chai';
import {checkPool} from './check_pool.js';
import {checkZones} from './check_zones.js';
import {ZoneRun} from './zone_run.js';
import type {ZoneStep} from './zone_step.js';

// Guards against tasks that crash worker after worker, starts beyond a capacity
// that has shrunk, and jobs that fail since workers were cut off.
test('generated histories of the pool keep the rules on starts', async () => {
  const report = await checkPool(28, 60);
  assert.deepEqual(report.counterexample, undefined);
  assert.isAbove(report.crashes, 50);
});

// Guards against a task that two dispatchers run at once, and against zones that
// stay without a dispatcher after faults.
test('generated histories of zones keep what callers are promised', async () => {
  const report = await checkZones(1, 5);
  assert.deepEqual(report.counterexample, undefined);
  assert.isAbove(report.moved, 0);
});

// Guards against a task that the leader of all zones and the fallback of one run at
// once, with slow nodes, links that work one way and callers that send jobs again.
test('generated histories of one leader keep what callers are promised', async () => {
  const report = await checkZones(31, 3, 'leader');
  assert.deepEqual(report.counterexample, undefined);
});

// Guards against a copy of a request that starts beside the first run: the stop order
// or the drop of the first request was lost while fallbacks served the zones.
test('a copy of a request after lost stops or drops runs alone', async () => {
  const lostStops = {kind: 'lose_orders', call: 'stop', forMs: 4_965} as const;
  const lostDrops = {kind: 'lose_messages', message: 'drop'} as const;
  const histories: ZoneStep[][] = [
    [
      {...lostStops, waitMs: 49, zone: null, fault: 'order_lost'},
      {kind: 'lose_cores', waitMs: 89, forMs: 5_107, zone: 1},
    ],
    [
      {kind: 'lose_cores', waitMs: 1_676, forMs: 4_311, zone: 2},
      {...lostDrops, waitMs: 1_165, every: 3, forMs: 2_383},
      {kind: 'disconnect', waitMs: 787, entry: 0, isAll: false},
    ],
  ];
  for (const steps of histories) {
    const run = new ZoneRun('leader');
    await run.run(steps);
    assert.isEmpty(run.violations);
  }
});
