import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';
import {DeploymentLog} from '../../../../test-support/fakes/pool/deployment_log.js';
import {InMemoryPeers} from '../../../../test-support/fakes/in_memory_peers.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {FailoverTiming} from '../node/failover_timing.js';
import {DispatcherEndpoint} from './dispatcher_endpoint.js';

// Guards against a leader that runs the jobs of an entry node longer than the node
// waits before it gives them to a fallback, because its messages arrive late.
test('the jobs of an entry node last no longer than its last claim', async () => {
  const bench = new PoolBench(1);
  const {clock} = bench;
  const peers = new InMemoryPeers(clock);
  const [core, entry] = [peers.node('c'), peers.node('e')];
  const routing = () => PoolBench.table();
  const observer = new DeploymentLog(bench.workers).createObserver('c', () =>
    clock.now(),
  );
  const opts = {clock, peers: core, routing, observer};
  const endpoint = new DispatcherEndpoint(opts);
  const dispatcher = bench.createDispatcher();
  endpoint.attach(dispatcher);
  const claimStatedAt = clock.now();
  await bench.run(500, dispatcher);
  entry.send('c', 'pool.submit', {...PoolBench.submission('j'), claimStatedAt});
  await bench.run(50, dispatcher);
  entry.send('c', 'pool.poll', {ids: ['j'], claimStatedAt});
  const endMs = FailoverTiming.OWNER_TIMEOUT_MS - 550;
  for (const worker of bench.workers.values()) worker.runMs = () => 5_000;
  entry.send('c', 'pool.submit', {...PoolBench.submission('k'), claimStatedAt});
  await bench.run(endMs, dispatcher);
  assert.isTrue(dispatcher.has('k'));
  await bench.run(2, dispatcher);
  endpoint.tick(clock.now());
  assert.isFalse(dispatcher.has('k'));
});

// Guards against two runs at once of a job whose entry node hears nothing while its
// messages arrive: what it submitted meanwhile kept its jobs alive at the leader.
test('no task runs twice when a zone is heard by a slow leader it does not hear', async () => {
  const bench = new DeploymentBench({workersPerZone: 10, coresPerZone: 1});
  bench.runMs = 2_000;
  await bench.run(2_900);
  for (const inner of bench.inZone('z')) {
    for (const outer of bench.outsideOf('z')) bench.cutFrom(outer, inner);
  }
  bench.starve('xc1', 90);
  await bench.runLoad(450, 150, {patienceMs: 5_000});
  await bench.run(100);
  bench.submit('ze1', 'late-1');
  bench.submit('ze2', 'late-2');
  await bench.run(1_500);
  assert.isNotEmpty(bench.fallbacks());
  bench.heal();
  await bench.run(4_000);
  assert.isEmpty(bench.log.overlaps());
});
