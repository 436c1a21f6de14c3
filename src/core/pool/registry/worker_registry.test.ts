import {assert} from 'chai';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import {WorkerRegistry} from './worker_registry.js';

test('a late report of a worker that has left is ignored', () => {
  const registry = new WorkerRegistry();
  registry.update(POOL_WORKER_REPORT, 0);
  registry.remove('w', 1);
  assert.isFalse(registry.update({...POOL_WORKER_REPORT, sequence: 9}, 2));
  assert.isFalse(registry.update({...POOL_WORKER_REPORT, bornAt: 4}, 2));
  assert.isTrue(registry.update({...POOL_WORKER_REPORT, bornAt: 6}, 2));
});

// A node that has just started gets the departure of a worker before the older
// reports that other nodes kept of it.
test('a departure counts although the worker was not known', () => {
  const registry = new WorkerRegistry();
  registry.remove('w', 0, 5);
  assert.isFalse(registry.update(POOL_WORKER_REPORT, 1));
  assert.isEmpty(registry.reports);
  assert.isTrue(registry.update({...POOL_WORKER_REPORT, bornAt: 6}, 2));
});

test('a late departure does not remove the next instance', () => {
  const registry = new WorkerRegistry();
  registry.update({...POOL_WORKER_REPORT, bornAt: 6}, 0);
  registry.remove('w', 1, 5);
  assert.lengthOf(registry.reports, 1);
});

test('departures beyond the limit are forgotten, the oldest first', () => {
  const registry = new WorkerRegistry();
  for (let n = 0; n < 3_000; n += 1) registry.remove(`w${n}`, 0, 1);
  assert.isTrue(
    registry.update({...POOL_WORKER_REPORT, id: 'w0', bornAt: 1}, 1),
  );
  assert.isFalse(
    registry.update({...POOL_WORKER_REPORT, id: 'w2999', bornAt: 1}, 1),
  );
});

// Guards against a report of another writer that takes a worker out of service.
test('a report for an unknown service does not displace a worker', () => {
  const registry = new WorkerRegistry(service => service === 'svc');
  const foreign = {...POOL_WORKER_REPORT, service: 'another', bornAt: 1e9};
  const own = {...POOL_WORKER_REPORT, service: 'svc'};
  assert.isTrue(registry.update(foreign, 0));
  assert.isTrue(registry.update(own, 1));
  assert.isFalse(registry.update({...foreign, sequence: 1e9}, 2));
  assert.deepEqual(registry.reports, [own]);
});
