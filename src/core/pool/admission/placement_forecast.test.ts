import {assert} from 'chai';
import {PlacementForecast} from './placement_forecast.js';

const TASK = {cpu: 16_000, runMs: 100, endsBy: 300};

/** Fleet of two workers with room for two tasks each, `running` in use. */
function createForecast(running: number, leftMs = 1_000) {
  const forecast = new PlacementForecast<string>(0);
  const workers = [0, 1].map(n => {
    const used = Math.min(2, Math.max(0, running - 2 * n));
    return {used, id: forecast.addWorker(32_000 - used * 16_000)};
  });
  for (const {used, id} of workers) {
    for (let n = 0; n < used; n += 1) forecast.addRun(id, 16_000, leftMs);
  }
  return forecast;
}

// Three of four places are taken by long runs: the mean of what is ahead says
// that the next place is far off, but one is free.
test('a job is not refused while a place is free', () => {
  const forecast = createForecast(3);
  assert.isEmpty([...forecast.findMissed([{...TASK, job: 'a'}])]);
  assert.equal(forecast.clearInMs, 0);
});

test('a job is refused if no place becomes free in time', () => {
  const forecast = createForecast(4);
  assert.deepEqual([...forecast.findMissed([{...TASK, job: 'a'}])], ['a']);
});

test('a refused job takes no place from the jobs behind it', () => {
  const forecast = createForecast(3, 250);
  const wide = [0, 1, 2].map(() => ({...TASK, job: 'wide', endsBy: 250}));
  const tasks = [...wide, {...TASK, job: 'small', endsBy: 1_000}];
  assert.deepEqual([...forecast.findMissed(tasks)], ['wide']);
});

// Demands just above half of a worker leave room for one task, not for two.
test('room is counted by what fits, not by the mean demand', () => {
  const forecast = createForecast(0);
  const tasks = ['a', 'b', 'c'].map(job => ({...TASK, job, cpu: 17_000}));
  const endsBy = 150;
  const missed = forecast.findMissed(tasks.map(t => ({...t, endsBy})));
  assert.deepEqual([...missed], ['c']);
});

test('a task that no worker could run is left out', () => {
  const forecast = createForecast(0);
  const tasks = [{...TASK, job: 'huge', cpu: 64_000, endsBy: Infinity}];
  assert.isEmpty([...forecast.findMissed(tasks)]);
});

test('starts follow the ends of the runs in time', () => {
  const forecast = createForecast(4, 40);
  const tasks = Array.from({length: 6}, (_, n) => ({...TASK, job: `j${n}`}));
  assert.isEmpty([...forecast.findMissed(tasks)]);
  assert.equal(forecast.clearInMs, 140);
});

// Guards against a forecast that counts on a slow worker as if it were normal:
// the job was kept, and started there too late.
test('a task is not placed on a worker that is too slow for it', () => {
  const forecast = new PlacementForecast<string>(0);
  const fast = forecast.addWorker(0, 1);
  forecast.addWorker(16_000, 5);
  forecast.addRun(fast, 16_000, 150);
  assert.isEmpty([...forecast.findMissed([{...TASK, job: 'a'}])]);
  assert.equal(forecast.clearInMs, 150);
});

test('a job is refused if only a worker that is too slow becomes free in time', () => {
  const forecast = new PlacementForecast<string>(0);
  const fast = forecast.addWorker(0, 1);
  forecast.addWorker(16_000, 5);
  forecast.addRun(fast, 16_000, 250);
  assert.deepEqual([...forecast.findMissed([{...TASK, job: 'a'}])], ['a']);
});
