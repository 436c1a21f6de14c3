import {assert} from 'chai';
import {poolTaskOf} from '../../../../test-support/fakes/pool/pool_task_of.js';
import {usableWorker} from '../../../../test-support/fakes/pool/usable_worker.js';
import {SpareWorkers} from './spare_workers.js';

const WORKERS = [
  usableWorker('near', {labels: ['r1']}),
  usableWorker('fast', {labels: ['r2']}),
];
const SLOWNESS = new Map([['fast', 0.7]]);

function createSpares(remoteFactor: number): SpareWorkers {
  return new SpareWorkers({
    workers: WORKERS,
    slownessOf: id => SLOWNESS.get(id) ?? 1,
    isUsable: () => true,
    remoteFactor,
  });
}

// Guards against a stop where no room is left: the task would then wait.
test('each stopped run takes its room, and the own worker has none', () => {
  const spares = createSpares(2);
  const task = poolTaskOf('j');
  task.worker = WORKERS[0];
  for (const expected of [0.7, 0.7, undefined]) {
    const place = spares.find(task);
    assert.equal(place?.factor, expected);
    place?.take();
  }
});

test('room beside the data is better than a slightly faster worker', () => {
  const task = poolTaskOf('j', {dataRack: 'r1'});
  assert.equal(createSpares(2).find(task)?.factor, 1);
  assert.equal(createSpares(1.2).find(task)?.factor, 0.7 * 1.2);
});
