import {assert} from 'chai';
import {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import type {WorkerState} from '../../core/worker/worker_state.js';
import {checkJobs} from './check_jobs.js';
import type {Mutation} from './mutation.js';

const SEED = 1;
const MAX_RUNS = 600;

/** The checker must report a run in which the mechanism is missing. */
function assertDetected(mutation: Mutation, violation: RegExp): void {
  const report = checkJobs({
    seed: SEED,
    runs: MAX_RUNS,
    mutation,
    shrinks: false,
  });
  const violations = report.counterexample?.violations ?? [];
  assert.isTrue(
    violations.some(text => violation.test(text)),
    `no violation in ${report.runs} runs: ${violations.join('; ')}`,
  );
}

test('generated histories keep the invariants', () => {
  const report = checkJobs({seed: SEED, runs: 150});
  assert.deepEqual(report.counterexample?.violations ?? [], []);
  assert.isAbove(report.starts, 100);
});

test('the check notices workers without fences', () => {
  assertDetected(
    {worker: {fences: false}},
    /started \d times|at the same time/,
  );
});

test('the check notices workers without tombstones', () => {
  assertDetected({worker: {keepsTombstones: false}}, /\d times|same time/);
});

test('the check notices workers that ignore their lease', () => {
  assertDetected({worker: {obeysLease: false}}, /at the same time|not_run/);
});

test('the check notices starts before the commit', () => {
  assertDetected({group: {commitsEarly: true}}, /started|differ|same time/);
});

test('the check notices keys older than the memory', () => {
  assertDetected({group: {hidesMemoryStart: true}}, /started \d times/);
});

test('the check notices retries of strict tasks', () => {
  class AlwaysRetryPolicy extends RetryPolicy {
    override shouldRetry(
      context: Parameters<RetryPolicy['shouldRetry']>[0],
    ): boolean {
      return super.shouldRetry({...context, repeatable: true});
    }
  }
  assertDetected({retry: () => new AlwaysRetryPolicy()}, /started \d times/);
});

test('the check notices starts on leaving workers', () => {
  class NeverLeavingRegistry extends WorkerRegistry {
    override announce(announcement: WorkerAnnouncement, now: number) {
      return super.announce({...announcement, leaving: false}, now);
    }
  }
  assertDetected({registry: () => new NeverLeavingRegistry()}, /after leaving/);
});

test('the check notices more starts than slots', () => {
  class ExtraSlotRegistry extends WorkerRegistry {
    override announce(announcement: WorkerAnnouncement, now: number) {
      const slots = announcement.slots + 1;
      return super.announce({...announcement, slots}, now);
    }
  }
  assertDetected({registry: () => new ExtraSlotRegistry()}, /slots/);
});

test('the check notices leases that end too early', () => {
  class EarlyExpiryRegistry extends WorkerRegistry {
    override expire(now: number): WorkerState[] {
      return super.expire(now + 2_000);
    }
  }
  assertDetected(
    {registry: () => new EarlyExpiryRegistry()},
    /at the same time/,
  );
});

// Guards against faults that only elections, restarts without memory and cut
// links between the members bring about.
test('generated histories over real replicas keep the invariants', () => {
  const report = checkJobs({seed: SEED, runs: 60, group: 'replica'});
  assert.deepEqual(report.counterexample?.violations ?? [], []);
  assert.isAbove(report.starts, 100);
});
