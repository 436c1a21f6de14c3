import {assert} from 'chai';
import {EvacuatedZones} from '../../routing/evacuated_zones.js';
import type {LeasedWorker} from '../lease/leased_worker.js';
import {StartableWorkers} from './startable_workers.js';

function createBench() {
  const node: {config: {version: number; evacuated?: string[]}} = {
    config: {version: 1},
  };
  const evacuated = new EvacuatedZones(() => node.config);
  const forgotten: string[] = [];
  const startable = new StartableWorkers({
    evacuated,
    observer: {
      recordJobEvent: () => undefined,
      recordStateChange: () => undefined,
      recordResponseTime: () => undefined,
      recordPhase: () => undefined,
      incrementCounter: () => undefined,
    },
    forget: id => forgotten.push(id),
  });
  const workers = ['a', 'a', 'b', 'a', 'a'].map((zone, at) => {
    return {report: {id: `${zone}${at}`, zone}, runs: new Map()};
  }) as unknown as readonly LeasedWorker[];
  return {node, evacuated, startable, workers, forgotten};
}

// The list is filtered in each pass of a large fleet.
test('without evacuations the list of workers is passed on as it is', () => {
  const {startable, workers} = createBench();
  assert.strictEqual(startable.select(workers, 0), workers);
  assert.strictEqual(startable.remaining(workers), workers);
});

test('a return ends after the last step with the whole list', () => {
  const {node, evacuated, startable, workers, forgotten} = createBench();
  node.config = {version: 2, evacuated: ['a']};
  startable.tick(workers);
  assert.lengthOf(startable.select(workers, 0), 1);
  node.config = {version: 3, evacuated: []};
  evacuated.tick(1_000);
  startable.tick(workers);
  assert.deepEqual(forgotten, ['a0', 'a1', 'a3', 'a4']);
  const counts = [1_000, 1_999, 2_000, 3_500, 4_000].map(
    now => startable.select(workers, now).length,
  );
  assert.deepEqual(counts, [2, 2, 3, 4, 5]);
  assert.strictEqual(startable.select(workers, 4_000), workers);
  // Admission does not refuse what a worker could run after the next step.
  assert.strictEqual(startable.remaining(workers), workers);
});

test('a zone of one worker gets load in the first step', () => {
  const {node, evacuated, startable, workers} = createBench();
  node.config = {version: 2, evacuated: ['b']};
  startable.tick(workers);
  node.config = {version: 3, evacuated: []};
  evacuated.tick(0);
  assert.lengthOf(startable.select(workers, 0), 5);
});
