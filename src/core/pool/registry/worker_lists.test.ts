import {assert} from 'chai';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {PoolNetwork} from '../../../../test-support/fakes/pool/pool_network.js';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import {SuspendableClock} from '../../../../test-support/fakes/pool/suspendable_clock.js';
import {NodeDirectory} from '../node/node_directory.js';
import {WorkerListTiming} from './worker_list_timing.js';
import {WorkerLists} from './worker_lists.js';
import {WorkerRegistry} from './worker_registry.js';

const {HELD_MS, VALID_MS, LAST_START_MS} = WorkerListTiming;
const TOKEN = 1_004;
const OPENING = {term: 1, zone: 'y', excluded: new Set<string>()};
/** Succeeds the dispatcher with TOKEN. */
const NEXT = {...OPENING, token: 1_008, earlierToken: TOKEN};

function report(id: string) {
  return {...POOL_WORKER_REPORT, id, address: `${id}:1`, zone: 'y'};
}

/** The holder `d` of a zone with worker `w1`, and node `e` that may succeed it. */
class ListsBench {
  readonly clock = new FakeClock();
  readonly network = new PoolNetwork();
  readonly registry = new WorkerRegistry();
  private readonly directory = new NodeDirectory('e', []);
  readonly e = this.createLists('e', this.directory, this.registry);
  readonly holder = this.createLists(
    'd',
    new NodeDirectory('d', []),
    new WorkerRegistry(),
  ).open({...OPENING, token: TOKEN, earlierToken: undefined}, 0);

  constructor() {
    this.holder.mayJoin(report('w1'));
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 1) {
      this.clock.advance(1);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
      const now = this.clock.now();
      const claim = {term: 1, token: TOKEN, zone: 'y', revision: 0};
      const heard = {node: 'd', isFallback: false, heardAt: now};
      this.directory.claims.record({...claim, ...heard});
      this.e.tick(now);
    }
  }

  private createLists(
    node: string,
    directory: NodeDirectory,
    registry: WorkerRegistry,
  ): WorkerLists {
    const clock = new SuspendableClock(this.clock);
    const peers = this.network.connect(node, clock);
    const base = {node, zone: 'y', clock, peers, directory, registry};
    const onConfirmed = () => undefined;
    return new WorkerLists({...base, currentToken: () => TOKEN, onConfirmed});
  }
}

// Guards against a takeover that lacks workers of the dispatcher before.
test('the next dispatcher has the workers of the one that it succeeds', async () => {
  const bench = new ListsBench();
  await bench.run(2_000);
  const next = bench.e.open(NEXT, bench.clock.now());
  assert.isTrue(next.isRegistryComplete);
  assert.isTrue(bench.registry.entries.has('w1'));
  assert.isTrue(next.knowsWorkersOf(TOKEN, bench.clock.now()));
  assert.isFalse(next.knowsWorkersOf(TOKEN - 4, bench.clock.now()));
  const lateAt = bench.clock.now() + VALID_MS - LAST_START_MS + 1;
  assert.isFalse(next.knowsWorkersOf(TOKEN, lateAt));
});

// Guards against a copy that looks newer than it is, as answers are read late.
test('a copy counts from when it was asked for, not from when it is read', async () => {
  const lateMs = 600;
  for (const [afterMs, isComplete] of [
    [VALID_MS - lateMs - 450, true],
    [VALID_MS - lateMs + 50, false],
  ] as const) {
    const bench = new ListsBench();
    bench.network.delayMs = from => (from === 'd' ? lateMs : 1);
    await bench.run(3_000);
    bench.network.isConnected = () => false;
    await bench.run(afterMs);
    const next = bench.e.open(NEXT, bench.clock.now());
    assert.equal(next.isRegistryComplete, isComplete);
  }
});

// Guards against a dispatcher that does not know of the next one and starts tasks on a
// new worker, which the next one has confirmed but did not have when it took jobs over.
test('a dispatcher that was succeeded uses no new worker for the time of a copy', async () => {
  const bench = new ListsBench();
  await bench.run(2_000);
  bench.e.open(NEXT, bench.clock.now());
  assert.isFalse(bench.holder.mayJoin(report('w2')));
  await bench.run(HELD_MS - 500);
  assert.isFalse(bench.holder.mayJoin(report('w2')));
  await bench.run(500);
  assert.isTrue(bench.holder.mayJoin(report('w2')));
});

// Guards against waits for leases where nothing has failed.
test('a new worker is confirmed with the next request at the latest', async () => {
  const bench = new ListsBench();
  await bench.run(2_000);
  assert.isFalse(bench.holder.mayJoin(report('w2')));
  await bench.run(WorkerListTiming.REQUEST_MS + 4);
  assert.isTrue(bench.holder.mayJoin(report('w2')));
});
