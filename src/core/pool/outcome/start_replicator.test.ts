import {assert} from 'chai';
import {LossyPeers} from '../../../../test-support/fakes/lossy_peers.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';
import {NodeDirectory} from '../node/node_directory.js';
import {WorkerRegistry} from '../registry/worker_registry.js';
import {StartReplicator} from './start_replicator.js';

const NEVER = Number.NEGATIVE_INFINITY;

/** Two core nodes, of which `c1` dispatches. */
function createNodes() {
  const bench = new PoolBench(1);
  const peers = new LossyPeers(bench.clock, new SeededRandom(1));
  const registry = new WorkerRegistry();
  const [worker] = bench.workers.values();
  registry.update(worker!.report, 0);
  const create = (node: string) => {
    const directory = new NodeDirectory(node, ['c1', 'c2']);
    for (const id of ['c1', 'c2']) directory.recordSeen(id, 'core', Infinity);
    return new StartReplicator({
      node,
      clock: bench.clock,
      peers: peers.connect(node),
      directory,
      registry,
    });
  };
  const [first, second] = [create('c1'), create('c2')];
  const dispatcher = bench.createDispatcher();
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 20) {
      // The bench would take the started jobs of a dispatcher that it runs.
      await bench.run(20);
      dispatcher.tick(bench.clock.now());
      first.tick(dispatcher, bench.clock.now());
    }
  };
  const predecessor = () => second.predecessor(bench.clock.now());
  return {bench, peers, registry, dispatcher, first, run, predecessor};
}

test('the other core nodes learn which jobs have started', async () => {
  const {bench, dispatcher, run, predecessor} = createNodes();
  await run(12_000);
  dispatcher.submit('e', PoolBench.submission('j'));
  await run(600);
  const {startedJobs, recordCompleteUntil} = predecessor();
  assert.include(startedJobs, 'j');
  assert.isAbove(recordCompleteUntil, bench.clock.now() + 300);
});

test('after a cut, the record is incomplete for 5 s', async () => {
  const {bench, peers, run, predecessor} = createNodes();
  await run(12_000);
  peers.cut('c1', 'c2');
  await run(600);
  peers.heal();
  await run(1_000);
  assert.equal(predecessor().recordCompleteUntil, NEVER);
  await run(5_000);
  assert.isAbove(predecessor().recordCompleteUntil, bench.clock.now());
});

test('a node that does not know the same workers has no proof', async () => {
  const {bench, registry, run, predecessor} = createNodes();
  await run(12_000);
  const {report} = [...bench.workers.values()][0]!;
  registry.update({...report, id: 'other'}, bench.clock.now());
  assert.equal(predecessor().recordCompleteUntil, NEVER);
});

// An end must not be acknowledged before a node that may take over knows it.
test('ends count as recorded when the other node has confirmed them', async () => {
  const {bench, peers, dispatcher, first, run} = createNodes();
  await run(1_000);
  assert.isAbove(first.recordedUntil, bench.clock.now() - 150);
  peers.cut('c1', 'c2');
  const cutAt = bench.clock.now();
  dispatcher.started.record('j.0.0.0');
  await run(500);
  assert.isAtMost(first.recordedUntil, cutAt);
  await run(500);
  assert.isAbove(first.recordedUntil, cutAt);
});
