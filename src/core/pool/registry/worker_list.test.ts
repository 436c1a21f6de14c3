import {assert} from 'chai';
import {POOL_WORKER_REPORT} from '../../../../test-support/fakes/pool/pool_worker_report.js';
import {WorkerList} from './worker_list.js';
import {WorkerListTiming} from './worker_list_timing.js';

const TOKEN = 1_004;
const {HELD_MS} = WorkerListTiming;

function report(id: string) {
  return {...POOL_WORKER_REPORT, id, address: `${id}:1`};
}

/** A list with one worker, of which node `c` has a copy since time 0. */
function createCopiedList(): WorkerList {
  const list = new WorkerList(TOKEN);
  assert.isTrue(list.mayUse(report('w1'), 0));
  const first = list.answer('c', {token: 0, version: 0}, 0);
  assert.isFalse(first.isHeld);
  const {version} = first;
  assert.isTrue(list.answer('c', {token: TOKEN, version}, 0).isHeld);
  return list;
}

// Guards against runs on a worker that the next dispatcher does not know.
test('a worker is used when each node with a copy has confirmed it', () => {
  const list = createCopiedList();
  assert.isFalse(list.mayUse(report('w2'), 1));
  assert.deepEqual(list.nodesToNotify(1), ['c']);
  const confirmed = {token: TOKEN, version: list.confirmedVersion(1)};
  const {version, reports} = list.answer('c', confirmed, 2);
  assert.deepEqual(
    reports.map(({id}) => id),
    ['w2'],
  );
  assert.isFalse(list.mayUse(report('w2'), 2));
  list.answer('c', {token: TOKEN, version}, 3);
  assert.isTrue(list.mayUse(report('w2'), 3));
});

// Guards against a lost node that keeps new workers from being used.
test('a worker is used when the copy of a silent node is no longer complete', () => {
  const list = createCopiedList();
  assert.isFalse(list.mayUse(report('w2'), HELD_MS - 1));
  assert.isTrue(list.mayUse(report('w2'), HELD_MS));
});

// Guards against a copy that counts as complete although its node missed a worker
// while the dispatcher did not wait for it.
test('a copy that was not held is complete with the next answer only', () => {
  const list = createCopiedList();
  assert.isTrue(list.mayUse(report('w2'), HELD_MS));
  const late = list.answer('c', {token: TOKEN, version: 2}, HELD_MS + 1);
  assert.isTrue(late.isHeld);
  assert.deepEqual(
    late.reports.map(({id}) => id),
    ['w2'],
  );
});

// Guards against a takeover that waits for a worker that no longer exists.
test('workers that have left are removed from copies, also those that wait', () => {
  const list = createCopiedList();
  list.beginPass();
  assert.isFalse(list.mayUse(report('w2'), 1));
  list.endPass();
  list.remove('w1');
  list.beginPass();
  list.endPass();
  const {removed, reports} = list.answer('c', {token: TOKEN, version: 2}, 2);
  assert.deepEqual(removed, ['w1', 'w2']);
  assert.isEmpty(reports);
  assert.isEmpty(list.reports);
});

// Guards against waits for a node that stops.
test('a node that gives up its copy is not waited for', () => {
  const list = createCopiedList();
  list.release('c');
  assert.isTrue(list.mayUse(report('w2'), 1));
});
