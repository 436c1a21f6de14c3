import {assert} from 'chai';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import {FakeClock} from '../../../../test-support/fakes/fake_clock.js';
import {InMemoryPeers} from '../../../../test-support/fakes/in_memory_peers.js';
import {NodeDirectory} from '../node/node_directory.js';
import {WorkerRegistry} from './worker_registry.js';
import {WorkerRegistrySender} from './worker_registry_sender.js';
import {WorkerReportService} from './worker_report_service.js';

/** Last report of a worker before it leaves. */
const DRAINING = {...POOL_WORKER_REPORT, isDraining: true};

/** Two core nodes; `c1` leads unless it is cut off. */
function createBench() {
  const clock = new FakeClock();
  const peers = new InMemoryPeers(clock);
  const createNode = (node: string, isLeading: boolean, held?: string) => {
    const directory = new NodeDirectory(node, ['c1', 'c2']);
    const transport = peers.node(node);
    const registry = new WorkerRegistry();
    const opts = {node, clock, peers: transport, directory, registry};
    const noop = () => undefined;
    const service = new WorkerReportService({
      ...opts,
      registrySender: new WorkerRegistrySender(opts),
      reportAddress: `${node}:1`,
      isLeading: () => isLeading,
      holds: zone => zone === held,
      onNews: noop,
      observer: {
        recordJobEvent: noop,
        recordStateChange: noop,
        recordResponseTime: noop,
        recordPhase: noop,
        incrementCounter: noop,
      },
    });
    transport.onMessage('pool.book', (_from, body, now) => {
      const {reports} = body as {reports: Array<typeof POOL_WORKER_REPORT>};
      for (const report of reports) registry.update(report, now);
    });
    return {directory, registry, service};
  };
  const leader = createNode('c1', true);
  const follower = createNode('c2', false);
  const holder = createNode('c3', false, 'z');
  const claim = () => {
    const fields = {term: 1, token: 1_000, isFallback: false, revision: 1};
    const heardAt = clock.now();
    follower.directory.claims.record({...fields, node: 'c1', heardAt});
  };
  const settle = async <T>(result: Promise<T>): Promise<T> => {
    for (let ms = 0; ms < 10; ms += 1) {
      clock.advance(1);
      for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
    }
    return result;
  };
  claim();
  const claimZone = () => {
    const fields = {term: 1, token: 1_001, isFallback: false, revision: 1};
    const claimed = {...fields, node: 'c3', zone: 'z', heardAt: clock.now()};
    follower.directory.claims.record(claimed);
  };
  return {clock, peers, leader, follower, holder, claim, claimZone, settle};
}

test('a new worker is known to the leader before it gets its reply', async () => {
  const {leader, follower, settle} = createBench();
  assert.equal(
    await settle(follower.service.report(POOL_WORKER_REPORT)),
    'c2:1',
  );
  assert.isTrue(leader.registry.entries.has('w'));
  assert.isTrue(follower.registry.entries.has('w'));
});

test('reports without news reach the leader together', async () => {
  const {clock, leader, follower, claim, settle} = createBench();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  clock.advance(1_500);
  claim();
  const next = {...POOL_WORKER_REPORT, sequence: 2};
  assert.equal(await settle(follower.service.report(next)), 'c2:1');
  assert.equal(leader.registry.entries.get('w')?.report.sequence, 1);
  follower.service.tick(clock.now());
  clock.advance(5);
  assert.equal(leader.registry.entries.get('w')?.report.sequence, 2);
});

// A worker that is told that it may leave must not be given new work.
test('a worker that drains gets its reply from the leader only', async () => {
  const {peers, clock, leader, follower, claim, settle} = createBench();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  const draining = {...POOL_WORKER_REPORT, sequence: 2, isDraining: true};
  assert.equal(await settle(follower.service.report(draining)), 'c2:1');
  assert.isTrue(leader.registry.entries.get('w')?.report.isDraining);
  peers.cut.add('c1');
  claim();
  const back = {...POOL_WORKER_REPORT, sequence: 3};
  const reply = follower.service.report(back);
  clock.advance(800);
  assert.isUndefined(await settle(reply));
});

test('no report is accepted while no leader is known', async () => {
  const {clock, follower, settle} = createBench();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  clock.advance(60_000);
  const next = {...POOL_WORKER_REPORT, sequence: 2};
  assert.isUndefined(await settle(follower.service.report(next)));
});

// Guards against starts beyond a capacity that has shrunk, on workers that do
// not check it.
test('a changed capacity is known to the leader before the worker is answered', async () => {
  const {leader, follower, settle} = createBench();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  const {capacity} = POOL_WORKER_REPORT;
  const smaller = {
    ...POOL_WORKER_REPORT,
    sequence: 2,
    capacity: {...capacity, memoryMb: capacity.memoryMb / 2},
  };
  assert.equal(await settle(follower.service.report(smaller)), 'c2:1');
  assert.deepEqual(
    leader.registry.entries.get('w')?.report.capacity,
    smaller.capacity,
  );
});

test('a drain is known to the holder of the zone before the worker is answered', async () => {
  const {follower, holder, claimZone, settle} = createBench();
  claimZone();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  const draining = {...POOL_WORKER_REPORT, sequence: 2, isDraining: true};
  assert.equal(await settle(follower.service.report(draining)), 'c2:1');
  assert.isTrue(holder.registry.entries.get('w')?.report.isDraining);
});

// While the holder's link is down, the leader alone accepts the report.
test('a holder that missed a drain gets it with the next reports', async () => {
  const {clock, peers, follower, holder, claim, claimZone, settle} =
    createBench();
  claimZone();
  await settle(follower.service.report(POOL_WORKER_REPORT));
  peers.cut.add('c3');
  const draining = {...POOL_WORKER_REPORT, sequence: 2, isDraining: true};
  const reply = follower.service.report(draining);
  await settle(Promise.resolve());
  clock.advance(800);
  assert.equal(await settle(reply), 'c2:1');
  peers.cut.delete('c3');
  claim();
  claimZone();
  follower.service.tick(clock.now());
  clock.advance(5);
  assert.isTrue(holder.registry.entries.get('w')?.report.isDraining);
});

test('without a leader, the holder of the zone accepts reports', async () => {
  const {clock, follower, holder, claimZone, settle} = createBench();
  clock.advance(60_000);
  claimZone();
  assert.equal(
    await settle(follower.service.report(POOL_WORKER_REPORT)),
    'c2:1',
  );
  assert.isTrue(holder.registry.entries.has('w'));
});

// Lists of workers only add to those of a core node, so that a holder would give work
// to a worker that has left, until the worker's last report expires.
test('a holder that missed a leave gets it with the next reports', async () => {
  const {clock, peers, follower, holder, claim, claimZone, settle} =
    createBench();
  claimZone();
  await settle(follower.service.report(DRAINING));
  follower.registry.update(DRAINING, clock.now());
  assert.isTrue(holder.registry.entries.has('w'));
  peers.cut.add('c3');
  const reply = follower.service.leave('w');
  await settle(Promise.resolve());
  clock.advance(800);
  assert.isTrue(await settle(reply));
  peers.cut.delete('c3');
  claim();
  claimZone();
  follower.service.tick(clock.now());
  clock.advance(5);
  assert.isFalse(holder.registry.entries.has('w'));
});

// Guards against a departure that is read after the worker has started again under its
// id: the reports of the present process were ignored for good, so that it could not
// drain, and the next leader did not know it and started its tasks elsewhere.
test('a late departure of an earlier process does not hide a worker', async () => {
  const {follower, leader, settle} = createBench();
  await settle(follower.service.report(DRAINING));
  const {bornAt, sequence} = POOL_WORKER_REPORT;
  const restarted = {...POOL_WORKER_REPORT, bornAt: bornAt + 1, sequence: 1};
  await settle(follower.service.report(restarted));
  assert.isTrue(await settle(follower.service.leave('w')));
  assert.isTrue(leader.registry.entries.has('w'));
  const draining = {...restarted, isDraining: true, sequence: sequence + 1};
  await settle(follower.service.report(draining));
  assert.isTrue(leader.registry.entries.get('w')?.report.isDraining);
  assert.isTrue(await settle(follower.service.leave('w')));
  assert.isFalse(leader.registry.entries.has('w'));
});
