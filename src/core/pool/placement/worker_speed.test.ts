import {assert} from 'chai';
import {WorkerSpeed} from './worker_speed.js';

const RUN = {group: 'a', multiple: 1, isTelling: false, isOverdue: false};

function speedAfter(...ratios: readonly number[]): WorkerSpeed {
  const speed = new WorkerSpeed();
  for (const [at, ratio] of ratios.entries()) {
    speed.record({...RUN, task: `t${at}`, ratio, at: at * 100});
  }
  return speed;
}

// Guards against a moving average, which one task of seven times the usual run
// time moves by a whole unit.
test('a single long task does not make its worker slow', () => {
  for (const at of [0, 5, 9]) {
    const ratios = Array.from({length: 10}, (_, n) => (n === at ? 7 : 1));
    assert.equal(speedAfter(...ratios).slowness(1_000), 1);
  }
});

test('a worker that turns slow is noticed with its second slow run', () => {
  const speed = speedAfter(...Array.from({length: 20}, () => 1), 5, 5);
  assert.equal(speed.slowness(2_200), 5);
});

// Where tasks are never long, the first slow run need not be repeated.
test('one run that no task of its queue explains shows a slow worker', () => {
  const speed = speedAfter(...Array.from({length: 20}, () => 1));
  const run = {...RUN, task: 'x', ratio: 5, isTelling: true, at: 2_000};
  speed.record(run);
  assert.equal(speed.slowness(2_000), 5);
});

// Guards against noticing a slow worker only when its runs end, which takes
// seconds with tasks of 900 ms.
test('overdue runs in progress show a slow worker', () => {
  const speed = speedAfter(...Array.from({length: 20}, () => 1));
  const overdue = {...RUN, isOverdue: true, at: 2_000, ratio: 2};
  speed.observe(
    [
      {...overdue, task: 'x'},
      {...overdue, task: 'y'},
    ],
    2_000,
  );
  assert.equal(speed.slowness(2_000), 2);
  assert.equal(speed.slownessWithout('x', 2_000), 1);
  speed.observe([], 2_010);
  assert.equal(speed.slowness(2_010), 1);
});

test('the usual speed of a worker is kept, and so is normal speed after few runs', () => {
  const speed = speedAfter(...Array.from({length: 20}, () => 1.6));
  assert.equal(speed.slowness(1_000_000), 1.6);
  assert.equal(speedAfter(1.5, 1.5).slowness(1_000_000), 1);
});

test('a long run among normal ones is put down to the task, several to the worker', () => {
  const speed = speedAfter(1, 1, 1, 1, 7);
  speed.record({...RUN, task: 'a', ratio: 1, at: 500});
  const long = speed.record({...RUN, task: 'b', ratio: 1, at: 600});
  assert.equal(long?.run.task, 't4');
  assert.equal(long?.slowness, 1);
  const slow = speedAfter(1, 1, 5, 5);
  const first = slow.record({...RUN, task: 'c', ratio: 5, at: 500});
  assert.deepEqual([first?.run.ratio, first?.slowness], [5, 5]);
});

// Without starts, a worker that has recovered would never be noticed.
test('an idle slow worker is tried again, less often after each slow run', () => {
  const speed = speedAfter(...Array.from({length: 20}, () => 1), 5, 5);
  assert.equal(speed.slownessWhenIdle(2_200), 5);
  assert.equal(speed.slownessWhenIdle(6_500), 1);
  speed.record({...RUN, task: 'x', ratio: 1, at: 6_600});
  assert.equal(speed.slownessWhenIdle(6_600), 1);
});
