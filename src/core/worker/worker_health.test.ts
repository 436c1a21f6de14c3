import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import type {AttemptOutcome} from '../job/attempt_outcome.js';
import type {RunningAttempt} from './running_attempt.js';
import {WorkerHealth} from './worker_health.js';

const FAILED: AttemptOutcome = {kind: 'failed', error: 'e'};
const DONE: AttemptOutcome = {kind: 'succeeded', result: null};
const FLEET = 10;

class Fixture {
  readonly health = new WorkerHealth();
  readonly bench = new DispatchBench({workers: FLEET});
  private count = 0;

  run(worker: string, outcome: AttemptOutcome, className = 'c', now = 0): void {
    this.count += 1;
    const attempt: RunningAttempt = {
      id: `1.${this.count}`,
      key: 'k',
      task: 0,
      worker,
      incarnation: `${worker}-1`,
      className,
      tenant: 't',
      memoryMb: 0,
      accelerators: 0,
      phase: 'sent',
      since: now,
      stopping: false,
    };
    this.health.started(attempt);
    this.health.ended(attempt, outcome, 100, FLEET, now + 100);
  }

  state(worker: string) {
    return this.bench.registry.get(worker)!;
  }

  each(act: (worker: string) => void): void {
    for (let n = 1; n <= FLEET; n += 1) act(`w${n}`);
  }
}

test('a failing worker is ejected and others are not', () => {
  const fixture = new Fixture();
  fixture.each(worker => fixture.run(worker, DONE));
  for (let n = 0; n < 4; n += 1) fixture.run('w2', FAILED);
  assert.isTrue(fixture.health.isEjected(fixture.state('w2')));
  assert.equal(fixture.health.ejectedCount, 1);
});

// Guards against a class whose tasks always fail: it must not make workers
// unavailable to other classes.
test('a class that fails on every worker ejects at most one worker', () => {
  const fixture = new Fixture();
  for (let n = 0; n < 10; n += 1) {
    fixture.each(worker => fixture.run(worker, FAILED, 'broken'));
  }
  assert.isAtMost(fixture.health.ejectedCount, 1);
});

// Guards against ejecting most of the fleet, which would overload the rest.
test('the share of ejected workers is capped', () => {
  const fixture = new Fixture();
  fixture.each(worker => fixture.run(worker, DONE));
  for (const worker of ['w1', 'w2', 'w3', 'w4']) {
    for (let n = 0; n < 8; n += 1) {
      fixture.run(worker, FAILED, `only-${worker}`);
    }
  }
  assert.equal(fixture.health.ejectedCount, 2);
});

test('probes run one at a time, and later with non-repeatable tasks', () => {
  const fixture = new Fixture();
  fixture.each(worker => fixture.run(worker, DONE));
  for (let n = 0; n < 3; n += 1) fixture.run('w2', FAILED);
  const {health} = fixture;
  const worker = fixture.state('w2');
  assert.isFalse(health.mayProbe(worker, true, 5_000));
  assert.isTrue(health.mayProbe(worker, true, 11_000));
  assert.isFalse(health.mayProbe(worker, false, 11_000));
  assert.isTrue(health.mayProbe(worker, false, 31_000));
  fixture.run('w2', FAILED, 'c', 11_000);
  assert.isFalse(health.mayProbe(worker, true, 22_000));
  fixture.run('w2', DONE, 'c', 32_000);
  assert.isFalse(health.isEjected(worker));
});

// After an evacuation, the failures before it would keep the worker ejected.
test('a worker that is forgotten is not ejected and may be ejected again', () => {
  const fixture = new Fixture();
  fixture.each(worker => fixture.run(worker, DONE));
  const fail = () => {
    for (let n = 0; n < 4; n += 1) fixture.run('w2', FAILED);
  };
  fail();
  fixture.health.forget('w2');
  fixture.health.forget('w3');
  assert.isFalse(fixture.health.isEjected(fixture.state('w2')));
  assert.equal(fixture.health.ejectedCount, 0);
  fail();
  assert.equal(fixture.health.ejectedCount, 1);
});
