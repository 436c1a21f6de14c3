import {assert} from 'chai';
import {InMemoryPeers} from '../../../../test-support/fakes/in_memory_peers.js';
import {LossyPeers} from '../../../../test-support/fakes/lossy_peers.js';
import {FakeWorkerClient} from '../../../../test-support/fakes/pool/fake_worker_client.js';
import {PoolBench} from '../../../../test-support/fakes/pool/pool_bench.js';
import {SeededRandom} from '../../../../test-support/fakes/seeded_random.js';
import {NodeDirectory} from '../node/node_directory.js';
import {RelayChooser} from './relay_chooser.js';
import {RelayedWorkerClient} from './relayed_worker_client.js';
import {WorkerRelay} from './worker_relay.js';

const NODES = ['e1', 'e2', 'e3'];

/** Minimum number of workers for relays to be used. */
const LARGE = 64;

/** A dispatcher `c` that sends orders to 64 workers through entry nodes. */
function createBench() {
  const bench = new PoolBench(LARGE, 1);
  const {clock, workers} = bench;
  const peers = new InMemoryPeers(clock);
  const directory = new NodeDirectory('c', []);
  const relayed = new FakeWorkerClient(clock, workers);
  const {observer} = bench;
  const relay = (id: string, client = relayed) =>
    new WorkerRelay({peers: peers.node(id), client, clock, observer});
  for (const id of NODES) relay(id);
  const recordPresence = () => {
    for (const id of NODES.filter(n => !peers.cut.has(n))) {
      directory.recordSeen(id, 'entry', clock.now(), 'z');
      directory.setRelay(id, true);
    }
  };
  recordPresence();
  const chooser = new RelayChooser(directory, clock);
  chooser.setWorkers([...workers.values()].map(w => w.report));
  const direct = bench.client;
  const dispatcher = bench.createDispatcher({
    client: new RelayedWorkerClient({
      peers: peers.node('c'),
      clock,
      directory,
      direct,
      chooser,
    }),
  });
  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 500) {
      recordPresence();
      await bench.run(Math.min(500, ms - passed), dispatcher);
    }
  };
  return {
    bench,
    peers,
    relay,
    directory,
    chooser,
    relayed,
    direct,
    dispatcher,
    run,
  };
}

test('orders to a large fleet are relayed through entry nodes', async () => {
  const {bench, dispatcher, relayed, direct, run} = createBench();
  await run(100);
  dispatcher.submit('e1', PoolBench.submission('j', {tasks: 20}));
  await run(400);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.isEmpty(direct.calls);
  assert.isAbove(relayed.calls.length, 20);
});

// Leases must be renewed in time when a relay fails.
test('no run is lost when a relay stops responding', async () => {
  const {bench, dispatcher, peers, direct, run} = createBench();
  for (const worker of bench.workers.values()) worker.runMs = () => 3_000;
  await run(100);
  const opts = {tasks: LARGE, estimatedMs: 3_000};
  dispatcher.submit('e1', PoolBench.submission('j', opts));
  await run(500);
  peers.cut.add('e2');
  await run(4_000);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.lengthOf(runs, LARGE);
  assert.isEmpty(direct.calls);
});

test('without relays, orders are sent to the workers directly', async () => {
  const {bench, dispatcher, peers, direct, run} = createBench();
  for (const id of NODES) peers.cut.add(id);
  await run(2_500);
  dispatcher.submit('e1', PoolBench.submission('j', {tasks: 20}));
  await run(1_000);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.isAbove(direct.calls.length, 20);
});

test('starts through failed relays do not make tasks run twice', async () => {
  const {bench, dispatcher, peers, run} = createBench();
  await run(100);
  for (const id of NODES) peers.cut.add(id);
  dispatcher.submit('e1', PoolBench.submission('j', {tasks: 20}));
  await run(3_000);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.isEmpty(bench.overlaps());
});

test('orders to a small fleet are sent directly', () => {
  const {chooser, bench} = createBench();
  const reports = [...bench.workers.values()].map(w => w.report);
  assert.isDefined(chooser.choose('w0'));
  chooser.setWorkers(reports.slice(0, LARGE - 1));
  assert.isUndefined(chooser.choose('w0'));
});

test('stopped and paused nodes are not chosen, other choices stay', () => {
  const {chooser, directory, bench} = createBench();
  const ids = [...bench.workers.keys()];
  const before = new Map(ids.map(id => [id, chooser.choose(id)]));
  for (const node of NODES) assert.include([...before.values()], node);
  chooser.pause('e1');
  directory.setRelay('e2', false);
  bench.clock.advance(300);
  for (const id of ids) assert.equal(chooser.choose(id), 'e3');
  directory.setRelay('e2', true);
  bench.clock.advance(300);
  for (const [id, node] of before) {
    if (node !== 'e1') assert.equal(chooser.choose(id), node);
  }
});

test('a relay is not used for workers of another zone', () => {
  const {chooser, bench} = createBench();
  const reports = [...bench.workers.values()].map(w => w.report);
  const moved = reports.map(r => (r.id === 'w5' ? {...r, zone: 'y'} : r));
  chooser.setWorkers(moved);
  bench.clock.advance(300);
  assert.isUndefined(chooser.choose('w5'));
  assert.isDefined(chooser.choose('w6'));
});

test('a relay rejects a malformed order', async () => {
  const {bench, relayed} = createBench();
  const {clock, observer} = bench;
  const peers = new LossyPeers(bench.clock, new SeededRandom(1));
  const node = peers.connect('e');
  new WorkerRelay({peers: node, client: relayed, clock, observer});
  for (const body of [undefined, {kind: 'start'}, {kind: 'look', order: {}}]) {
    const outcome = await node.request('e', 'pool.order', body, 10).then(
      () => 'relayed the order',
      (err: unknown) => String(err),
    );
    assert.include(outcome, 'malformed relay order');
  }
  assert.isEmpty(relayed.calls);
});

// Nodes of the version before state no time during a rolling change.
test('a relay passes on what it may, by its own clock', async () => {
  const {bench, peers, relay} = createBench();
  const client = new FakeWorkerClient(bench.clock, bench.workers);
  relay('k', client);
  const [worker] = bench.workers.values();
  const now = bench.clock.now();
  const send = async (expiresAt?: number) => {
    const target = worker!.report;
    const order = {token: 1_000_000, acknowledged: 0, waitMs: 100};
    const body = {kind: 'look', target, order, timeoutMs: 200, expiresAt};
    let kind: unknown;
    void peers
      .node('c')
      .request('k', 'pool.order', body, 300)
      .then(res => {
        if (res.isOk) kind = (res.value as {kind: string}).kind;
      });
    await bench.run(200);
    return kind;
  };
  assert.equal(await send(now - 1), 'refused');
  assert.equal(await send(now + 60_000), 'refused');
  assert.isEmpty(client.calls);
  assert.equal(await send(bench.clock.now() + 100), 'ok');
  assert.equal(await send(), 'ok');
});

// With a hundred entry nodes the leader would write one order at a time to each
// of a hundred links.
test('the core node of a zone relays before its entry nodes', () => {
  const {chooser, directory, bench} = createBench();
  const ids = [...bench.workers.keys()];
  const relaysOf = () => {
    bench.clock.advance(300);
    return new Set(ids.map(id => chooser.choose(id)));
  };
  directory.recordSeen('k', 'core', bench.clock.now(), 'z');
  directory.recordSeen('far', 'core', bench.clock.now(), 'y');
  for (const id of ['k', 'far']) directory.setRelay(id, true);
  assert.deepEqual([...relaysOf()], ['k']);
  chooser.pause('k');
  assert.notInclude([...relaysOf()], 'k');
  bench.clock.advance(3_000);
  // It has not been seen since.
  for (const id of NODES) {
    directory.recordSeen(id, 'entry', bench.clock.now(), 'z');
  }
  assert.sameMembers([...relaysOf()], NODES);
  directory.recordSeen('k', 'core', bench.clock.now(), 'z');
  assert.deepEqual([...relaysOf()], ['k']);
});

// Guards against the calls of a zone, some 65 a second and entry node on a large
// deployment, being made by entry processes, which they cost most of their time.
test('the holder of a zone calls its workers itself', () => {
  const {chooser, directory, bench} = createBench();
  const {report} = [...bench.workers.values()][0]!;
  const hold = (count: number) => {
    const workers = Array.from({length: count}, (_, n) => {
      return {...report, id: `w${n}`};
    });
    chooser.setWorkers(workers, {mayLeaveZone: false});
    bench.clock.advance(300);
    return chooser.choose('w0');
  };
  assert.isUndefined(hold(76));
  assert.isUndefined(hold(127));
  // A zone this large would overload its holder.
  assert.include(NODES, hold(128));
  directory.recordSeen('k', 'core', bench.clock.now(), 'z');
  directory.setRelay('k', true);
  assert.equal(hold(76), 'k');
});

// If all relays of a zone are slow for a moment, the leader must not make the
// calls of the whole zone itself: it would be slow for all zones.
test('core nodes of other zones relay before the leader calls workers itself', () => {
  const {chooser, directory, bench} = createBench();
  directory.recordSeen('far', 'core', bench.clock.now(), 'y');
  directory.setRelay('far', true);
  for (const id of NODES) chooser.pause(id);
  for (const id of bench.workers.keys()) {
    assert.equal(chooser.choose(id), 'far');
  }
});

// One core node relays for a whole zone, so its loss must not let the leases of
// that many workers expire.
test('no run is lost when the core node that relays stops responding', async () => {
  const {bench, directory, peers, relay, run, dispatcher} = createBench();
  const relayed = new FakeWorkerClient(bench.clock, bench.workers);
  relay('k', relayed);
  directory.recordSeen('k', 'core', bench.clock.now(), 'z');
  directory.setRelay('k', true);
  for (const worker of bench.workers.values()) worker.runMs = () => 3_000;
  await run(100);
  const opts = {tasks: LARGE, estimatedMs: 3_000};
  dispatcher.submit('e1', PoolBench.submission('j', opts));
  await run(500);
  assert.isAtLeast(relayed.calls.length, LARGE);
  peers.cut.add('k');
  await run(4_000);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  const runs = [...bench.workers.values()].flatMap(w => w.history);
  assert.lengthOf(runs, LARGE);
});
