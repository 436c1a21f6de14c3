import {assert} from 'chai';
import type {AttemptOutcome} from '../job/attempt_outcome.js';
import {UpstreamClient} from '../upstream/upstream_client.js';
import type {WorkerTarget} from '../upstream/worker_target.js';
import type {RunningAttempt} from '../worker/running_attempt.js';
import type {WorkerAnnouncement} from '../worker/worker_announcement.js';
import {WorkerRegistry} from '../worker/worker_registry.js';
import {AttemptManager} from './attempt_manager.js';

const EPOCH = 7;
const HOUR_MS = 3_600_000;

class RecordingClient extends UpstreamClient {
  readonly forgets: string[] = [];
  readonly polled: string[] = [];
  override start(): void {}
  override stop(): void {}
  override fence(): void {}
  override settle(
    _target: WorkerTarget,
    _epoch: number,
    attempts: readonly string[],
    forget: readonly string[],
  ): void {
    this.polled.push(...attempts);
    this.forgets.push(...forget);
  }
}

/** An attempt manager of a leader that records the attempts that end. */
class Bench {
  readonly registry = new WorkerRegistry();
  readonly upstream = new RecordingClient();
  readonly ended: Array<[string, AttemptOutcome['kind']]> = [];
  readonly manager = new AttemptManager({
    registry: this.registry,
    upstream: this.upstream,
    onEnded: ({id}, {kind}) => this.ended.push([id, kind]),
    onCapacity: () => undefined,
    onSuperseded: () => undefined,
  });
  private sequence = 0;

  constructor(inherited: readonly RunningAttempt[] = []) {
    this.manager.lead(EPOCH, inherited, 0);
  }

  announce(incarnation: string, now: number, sequence?: number): boolean {
    this.sequence += 1;
    return this.manager.announce(
      announcementOf(incarnation, sequence ?? this.sequence),
      now,
    );
  }

  fence(incarnation: string): void {
    this.manager.fenced(targetOf(incarnation), EPOCH, []);
  }

  place(id: string): RunningAttempt {
    const attempt = attemptOf(id, this.registry.get('w1')!.incarnation);
    this.registry.get('w1')!.occupy(attempt);
    return attempt;
  }

  settled(attempt: string, outcome: AttemptOutcome, now: number): void {
    this.manager.outcomeCommitted(
      {
        kind: 'settled',
        key: 'k',
        task: 0,
        attempt,
        worker: 'w1',
        outcome,
        final: true,
        at: now,
      },
      now,
    );
  }
}

test('a delayed announcement of an ended incarnation is refused', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.announce('i2', 10);
  bench.fence('i2');
  bench.place('7.1');
  assert.isFalse(bench.announce('i1', 20));
  assert.equal(bench.registry.get('w1')!.incarnation, 'i2');
  assert.isEmpty(bench.ended);
});

test('a restart ends attempts only after the new process replies', () => {
  // The announcement may be a delayed one of an unknown earlier process.
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.fence('i1');
  bench.place('7.1');
  bench.announce('i2', 10);
  assert.isEmpty(bench.ended);
  bench.fence('i2');
  assert.deepEqual(bench.ended, [['7.1', 'unknown']]);
});

test('attempts end with the lease if a restarted worker never replies', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.fence('i1');
  bench.place('7.1');
  bench.announce('i2', 10);
  bench.manager.tick(WorkerRegistry.LEASE_MS);
  assert.isEmpty(bench.ended);
  bench.manager.tick(WorkerRegistry.LEASE_MS + 300);
  assert.deepEqual(bench.ended, [['7.1', 'unknown']]);
});

test('a late result of a replaced process is accepted', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.fence('i1');
  bench.place('7.1');
  bench.announce('i2', 10);
  bench.manager.reported(targetOf('i1'), [
    {id: '7.1', state: 'succeeded', result: 1},
  ]);
  assert.deepEqual(bench.ended, [['7.1', 'succeeded']]);
});

test('an incarnation whose lease expired is not registered again', () => {
  // A start sent before the expiry could still arrive there and run.
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.manager.tick(WorkerRegistry.LEASE_MS + 300);
  assert.isFalse(bench.announce('i1', 4_000));
  assert.isTrue(bench.announce('i2', 4_000));
});

test('a new leader waits for leases that a deposed leader grants late', () => {
  // The deposed leader granted a lease at 2,900 ms that ends at 5,900 ms.
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.manager.lead(EPOCH + 1, [attemptOf('7.1', 'i1')], 0);
  bench.announce('i1', 100);
  bench.manager.tick(5_900);
  assert.isEmpty(bench.ended);
  bench.manager.tick(6_300);
  assert.deepEqual(bench.ended, [['7.1', 'unknown']]);
});

test('a worker that stops announcing itself gets no starts', () => {
  // It may have announced that it is leaving only to the previous leader.
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.manager.lead(EPOCH, [], 100);
  bench.fence('i1');
  const worker = bench.registry.get('w1')!;
  assert.isTrue(bench.registry.isStartable(worker, EPOCH, 1_400));
  assert.isFalse(bench.registry.isStartable(worker, EPOCH, 1_600));
  bench.announce('i1', 1_700);
  assert.isTrue(bench.registry.isStartable(worker, EPOCH, 1_800));
});

test('inherited attempts of unregistered workers end after two leases', () => {
  const bench = new Bench([attemptOf('6.1', 'i1')]);
  bench.manager.tick(5_900);
  assert.isEmpty(bench.ended);
  bench.manager.tick(6_300);
  assert.deepEqual(bench.ended, [['6.1', 'unknown']]);
});

test('a worker retains a result until the outcome is committed', () => {
  // A new leader would poll a discarded attempt and take it as never started.
  const bench = new Bench([attemptOf('6.1', 'i1')]);
  bench.manager.tick(6_300);
  bench.announce('i1', 7_000);
  const known = [{id: '6.1', state: 'succeeded' as const, result: 1}];
  bench.manager.fenced(targetOf('i1'), EPOCH, known);
  bench.manager.tick(9_000);
  assert.isEmpty(bench.upstream.forgets);
  bench.settled('6.1', {kind: 'unknown', reason: ''}, 9_000);
  bench.manager.tick(10_000);
  assert.deepEqual(bench.upstream.forgets, ['6.1']);
});

test('a request to forget an attempt is repeated until it is confirmed', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.fence('i1');
  bench.settled('7.1', {kind: 'succeeded', result: 1}, 100);
  bench.manager.tick(1_100);
  bench.manager.tick(2_150);
  assert.deepEqual(bench.upstream.forgets, ['7.1', '7.1']);
  bench.manager.forgotten(targetOf('i1'), ['7.1']);
  // The lease is still valid, so only the confirmation can end the requests.
  bench.manager.tick(3_200);
  assert.lengthOf(bench.upstream.forgets, 2);
});

test('a tombstone is retained while a start may be in transit', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.fence('i1');
  bench.settled('7.1', {kind: 'never_started', reason: ''}, 0);
  for (let now = 500; now < HOUR_MS / 4; now += 500) {
    bench.announce('i1', now);
    bench.manager.tick(now);
  }
  assert.isEmpty(bench.upstream.forgets);
});

test('an inherited attempt holds its slot until it ends and is discarded', () => {
  const bench = new Bench();
  bench.announce('i1', 0);
  bench.manager.fenced(targetOf('i1'), EPOCH, [{id: '5.1', state: 'running'}]);
  const worker = bench.registry.get('w1')!;
  assert.equal(worker.freeSlots, 0);
  bench.manager.reported(targetOf('i1'), [{id: '5.1', state: 'stopped'}]);
  assert.equal(worker.freeSlots, 1);
  bench.manager.tick(1_100);
  assert.deepEqual(bench.upstream.forgets, ['5.1']);
});

// Workers report inherited attempts on the connection of the previous leader.
// Without frequent polls, slots and answers are delayed by 1 s at a failover.
test('inherited attempts are polled at every tick', () => {
  const bench = new Bench([attemptOf('5.1', 'i1')]);
  bench.announce('i1', 10);
  const running = {id: '5.1', state: 'running' as const};
  bench.manager.fenced(targetOf('i1'), EPOCH, [running]);
  bench.manager.tick(100);
  bench.manager.tick(200);
  assert.deepEqual(bench.upstream.polled, ['5.1', '5.1']);
});

function targetOf(incarnation: string): WorkerTarget {
  return {worker: 'w1', incarnation, address: 'http://w1', connections: 4};
}

function attemptOf(id: string, incarnation: string): RunningAttempt {
  return {
    id,
    key: 'k',
    task: 0,
    worker: 'w1',
    incarnation,
    tenant: 'default',
    className: 'default',
    memoryMb: 0,
    accelerators: 0,
    phase: 'sent',
    since: 0,
    stopping: false,
  };
}

function announcementOf(
  incarnation: string,
  sequence: number,
): WorkerAnnouncement {
  return {
    worker: 'w1',
    incarnation,
    sequence,
    zone: 'arbat',
    rack: 'rack-1',
    address: 'http://w1',
    slots: 1,
    connections: 4,
    processors: 1,
    memory_mb: 1_000,
    accelerators: 0,
    classes: [],
    leaving: false,
    epoch: 0,
  };
}
