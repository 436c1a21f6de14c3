import {assert} from 'chai';
import fc from 'fast-check';
import {SpareRoom} from './spare_room.js';

const WORKER = {cpu: 16_000, freeCpu: 16_000};
const NO_RESERVE = new SpareRoom(0);
const STATE = {waitingTasks: 0, usualCpu: 8_000, borrowers: 1};

function repeat<T>(count: number, one: T): T[] {
  return Array.from({length: count}, () => one);
}

// 4 free cores on each of 80 workers are 320 cores and no place for a task.
test('parts of workers that hold no task are not offered', () => {
  const workers = repeat(80, {...WORKER, freeCpu: 4_000});
  const room = NO_RESERVE.offer({...STATE, workers});
  assert.deepEqual(room, {cpu: 0, largestTask: 0});
});

test('waiting tasks and the reserve come before the other zones', () => {
  const workers = repeat(10, WORKER);
  const state = {...STATE, workers, waitingTasks: 4};
  assert.equal(NO_RESERVE.offer(state).cpu, 16 * 8_000);
  assert.equal(new SpareRoom(0.1).offer(state).cpu, 14 * 8_000);
  const full = new SpareRoom(0.1).offer({...state, waitingTasks: 18});
  assert.equal(full.cpu, 0);
});

// Two homes that see the same offer must not use the same places.
test('the offers to all borrowers together fit on the workers', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 0, max: 24}), {maxLength: 90}),
      fc.integer({min: 0, max: 60}),
      fc.integer({min: 1, max: 5}),
      fc.constantFrom(6_000, 8_000, 8_500, 12_000),
      (free, waitingTasks, borrowers, usualCpu) => {
        const workers = free.map(cores => ({
          cpu: 24_000,
          freeCpu: cores * 1_000,
        }));
        const room = new SpareRoom().offer({
          workers,
          waitingTasks,
          borrowers,
          usualCpu,
        });
        const lent = (room.cpu / usualCpu) * borrowers;
        const places = workers.reduce(
          (sum, w) => sum + Math.floor(w.freeCpu / usualCpu),
          0,
        );
        assert.equal(room.cpu % usualCpu, 0);
        assert.isAtMost(lent, Math.max(0, places - waitingTasks));
      },
    ),
  );
});

// A zone whose callers have sent nothing yet must not look full.
test('before the first job a place is a whole worker', () => {
  const workers = repeat(10, WORKER);
  const room = NO_RESERVE.offer({...STATE, workers, usualCpu: 0});
  assert.deepEqual(room, {cpu: 160_000, largestTask: 16_000});
});
