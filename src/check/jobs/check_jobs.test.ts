import {assert} from 'chai';
import {RetryPolicy} from '../../core/retry/retry_policy.js';
import type {WorkerAnnouncement} from '../../core/worker/worker_announcement.js';
import {WorkerRegistry} from '../../core/worker/worker_registry.js';
import type {WorkerState} from '../../core/worker/worker_state.js';
import {checkJobs} from './check_jobs.js';
import type {Mutation} from './mutation.js';

const SEED = 1;
const MAX_RUNS = 600;

/** Asserts that the checker reports a violation if a mechanism is disabled. */
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
    `no match in ${report.runs} runs; violations: ${violations.join('; ')}`,
  );
}

test('generated histories satisfy the invariants', () => {
  const report = checkJobs({seed: SEED, runs: 150});
  assert.deepEqual(report.counterexample?.violations ?? [], []);
  assert.isAbove(report.starts, 100);
});

test('the check detects workers that ignore fences', () => {
  assertDetected(
    {worker: {fences: false}},
    /started \d times|at the same time/,
  );
});

test('the check detects workers without tombstones', () => {
  assertDetected({worker: {keepsTombstones: false}}, /\d times|same time/);
});

test('the check detects workers that ignore their lease', () => {
  assertDetected({worker: {obeysLease: false}}, /at the same time|not_run/);
});

test('the check detects starts before the commit', () => {
  assertDetected({group: {commitsEarly: true}}, /started|differ|same time/);
});

test('the check detects accepted keys that are older than the state', () => {
  assertDetected({group: {hidesMemoryStart: true}}, /started \d times/);
});

test('the check detects retries of non-repeatable tasks', () => {
  class AlwaysRetryPolicy extends RetryPolicy {
    override shouldRetry(
      context: Parameters<RetryPolicy['shouldRetry']>[0],
    ): boolean {
      return super.shouldRetry({...context, repeatable: true});
    }
  }
  assertDetected({retry: () => new AlwaysRetryPolicy()}, /started \d times/);
});

test('the check detects starts on leaving workers', () => {
  class NeverLeavingRegistry extends WorkerRegistry {
    override announce(announcement: WorkerAnnouncement, now: number) {
      return super.announce({...announcement, leaving: false}, now);
    }
  }
  assertDetected({registry: () => new NeverLeavingRegistry()}, /after leaving/);
});

test('the check detects more running tasks than slots', () => {
  class ExtraSlotRegistry extends WorkerRegistry {
    override announce(announcement: WorkerAnnouncement, now: number) {
      const slots = announcement.slots + 1;
      return super.announce({...announcement, slots}, now);
    }
  }
  assertDetected({registry: () => new ExtraSlotRegistry()}, /slots/);
});

test('the check detects leases that expire too early', () => {
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

// Guards against faults that only occur with elections, loss of state at a
// restart, and network partitions between the members.
test('generated histories over real replicas satisfy the invariants', () => {
  const report = checkJobs({seed: SEED, runs: 60, group: 'replica'});
  assert.deepEqual(report.counterexample?.violations ?? [], []);
  assert.isAbove(report.starts, 100);
});
