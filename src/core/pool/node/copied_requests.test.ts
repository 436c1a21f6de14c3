import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 2_500, patienceMs: 5_000};
/** Time for which the caller of a copy waits; longer than any run. */
const COPY_PATIENCE_MS = 7_000;
/** Time after which callers send a job again whose answer they did not receive. */
const RESEND_MS = 1_300;
/** Delay with which a slow fallback reads messages. */
const BACKLOG_MS = 760;
/** Delay of messages over a slow link, below the time after which they count as lost. */
const SLOW_LINK_MS = 840;
/** Time in which core nodes that have started elect a leader. */
const ELECTION_MS = 40;

// Guards against two runs at once after the loss of all core nodes: a fallback that
// reads its messages late starts a job whose caller has gone, and closes before it
// reads of that. The leader knows only the caller's copy of the request.
test('a copy does not start beside a run of a slow fallback', async () => {
  for (const beforeLeaderMs of [5, 10, 15, 20]) {
    const zones = ['w', 'x', 'y', 'z'];
    const size = {coresPerZone: 1, workersPerZone: 8};
    const bench = createBench({zones, ...size});
    await bench.run(4_000);
    for (const id of bench.seeds) bench.kill(id);
    await bench.run(3_500);
    assert.include(bench.fallbacks(), 'ze1');
    const {delayMs} = bench.network;
    bench.network.delayMs = (from, to) =>
      to === 'ze1' ? BACKLOG_MS : delayMs(from, to);
    // The workers of the zone have not reported to the leader yet.
    const workers = [...bench.workers.keys()].filter(id => id.startsWith('z'));
    bench.isolate(workers, bench.seeds);
    await runLoad(bench, 'ze2', 1_000);
    for (const id of bench.seeds) bench.startCore(id);
    await runLoad(bench, 'ze2', ELECTION_MS - beforeLeaderMs);
    bench.submit('ze2', 'j', JOB);
    await runLoad(bench, 'ze2', 40);
    bench.disconnectCaller('j');
    await runLoad(bench, 'ze2', RESEND_MS);
    await assertCopyRunsAlone(bench, 'xe1', `${beforeLeaderMs} ms`);
  }
});

// Guards against a run whose entry node has dropped the job: contact counted for all
// jobs of an entry node, so that polls for others kept this one alive.
test('a copy does not start beside a run whose drop was lost', async () => {
  const bench = createBench();
  await bench.run(6_000);
  await startJob(bench);
  bench.network.isLost = (_from, _to, kind) => kind === 'pool.drop';
  bench.disconnectCaller('j');
  await runLoad(bench, 'ye1', RESEND_MS);
  await assertCopyRunsAlone(bench, 'ze1');
});

// Guards against a run whose stop order is lost: polls for other runs of the worker
// prolonged its lease.
test('a copy does not start beside a run whose stop was lost', async () => {
  const bench = createBench();
  await bench.run(6_000);
  await startJob(bench);
  bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
  bench.disconnectCaller('j');
  await runLoad(bench, 'ye1', RESEND_MS);
  await assertCopyRunsAlone(bench, 'ze1');
});

// Guards against a run whose entry node and dispatcher are both gone: the next
// dispatcher prolonged its lease until somebody would claim it.
test('a copy does not start beside a run that nobody claims', async () => {
  const bench = createBench();
  await bench.run(6_000);
  await startJob(bench);
  bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
  const [holder] = bench.holders()['y']!;
  bench.announceDrain(holder!);
  bench.kill('ye1');
  await bench.run(RESEND_MS);
  await assertCopyRunsAlone(bench, 'ze1');
});

// Guards against a run that outlives its lost entry node: the dispatcher dropped the
// job in time, but its worker did not receive the stop.
test('a copy does not start beside a run of a lost entry node', async () => {
  const bench = createBench();
  await bench.run(6_000);
  await startJob(bench);
  bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
  bench.kill('ye1');
  await runLoad(bench, 'ye2', RESEND_MS);
  await assertCopyRunsAlone(bench, 'ze1');
});

// Guards against a run under a longer lease than its contact permits: other runs had
// extended the lease of its worker, which never shortens, before it was started.
test('a copy does not start beside a run of a slow entry node', async () => {
  for (const phaseMs of [0, 60, 120, 180]) {
    const bench = createBench();
    for (const worker of bench.workers.values()) {
      worker.runMs = task => (task.startsWith('j.') ? 2_500 : 400);
    }
    await bench.run(6_000 + phaseMs);
    const {delayMs} = bench.network;
    bench.network.delayMs = (from, to) =>
      delayMs(from, to) + (from === 'ye1' ? SLOW_LINK_MS : 0);
    bench.submit('ye1', 'j', JOB);
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    await runWideLoad(bench, 'ye2', 40);
    bench.disconnectCaller('j');
    await runWideLoad(bench, 'ye2', RESEND_MS);
    await assertCopyRunsAlone(bench, 'ze1', `${phaseMs} ms`);
  }
});

// Guards against a contact that is counted from the reading of a message: an entry
// node that was redirected has heard no claim of the other dispatcher yet.
test('a copy does not start beside a run of a moved job', async () => {
  const bench = new DeploymentBench();
  bench.runMs = JOB.estimatedMs;
  await bench.run(8_000);
  const {delayMs} = bench.network;
  bench.network.delayMs = (from, to) => {
    const isSlow = from.startsWith('ye') && /^[xz]c/.test(to);
    return delayMs(from, to) + (isSlow ? BACKLOG_MS : 0);
  };
  bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
  const ids = Array.from({length: 38}, (_, n) => `job${n}`);
  for (const id of ids) bench.submit('ye1', id, {...JOB, tasks: 8});
  await bench.run(40);
  const moves = bench.log.events.filter(e => e.event === 'job_redirected');
  assert.isNotEmpty(moves);
  for (const id of ids) bench.disconnectCaller(id);
  await bench.run(RESEND_MS);
  for (const {fields} of moves) {
    const copiedTo = String(fields['to_zone']) === 'x' ? 'ze1' : 'xe1';
    bench.submit(copiedTo, String(fields['job']), {...JOB, tasks: 8});
  }
  await bench.run(4_000);
  assert.isEmpty(bench.log.overlaps());
});

// Guards against contact by a claim that an entry node reads before it reads that the
// caller has gone, as each turn of its event loop takes long.
for (const [turnMs, phaseMs] of grid([190, 270], [0, 140])) {
  const title = `${turnMs} ms, ${phaseMs} ms`;
  test(`a copy does not start beside a run of a busy entry node, ${title}`, async () => {
    const bench = createBench({}, 4_000);
    await bench.run(6_000 + phaseMs);
    await startJob(bench);
    bench.overload('ye1', turnMs);
    await runLoad(bench, 'ye1', 1_000);
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    bench.disconnectCaller('j');
    await runLoad(bench, 'ye1', RESEND_MS);
    await assertCopyRunsAlone(bench, 'ze1');
  });
}

// Guards against jobs that are dropped while their callers wait: an entry node whose turns
// are long states contacts that are old.
test('a busy entry node keeps the jobs of its callers', async () => {
  for (const turnMs of [150, 250, 290]) {
    const bench = createBench({}, 900);
    await bench.run(6_000);
    bench.overload('ye1', turnMs);
    const ids = Array.from({length: 40}, (_, n) => `j.${n}`);
    for (const id of ids) {
      bench.submit('ye1', id, {estimatedMs: 900, patienceMs: 5_000});
      await bench.run(50);
    }
    await bench.run(3_000);
    assert.equal(bench.log.count('owner_silent'), 0, `${turnMs} ms`);
  }
});

// Guards against contact by a claim that was stated after the caller had gone: a busy
// entry node reads the request late, and then that its connection was closed.
for (const [turnMs, phaseMs] of grid([270, 290], [0, 120, 180])) {
  const title = `${turnMs} ms, ${phaseMs} ms`;
  test(`a copy does not start beside a run of a request that was read late, ${title}`, async () => {
    const bench = createBench({}, 4_000);
    await bench.run(6_000);
    bench.overload('ye1', turnMs);
    await runLoad(bench, 'ye1', 1_000 + phaseMs);
    bench.submit('ye1', 'j', JOB);
    await runLoad(bench, 'ye1', turnMs);
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    bench.disconnectCaller('j');
    await runLoad(bench, 'ye1', RESEND_MS);
    await assertCopyRunsAlone(bench, 'ze1');
  });
}

// Guards against a deadline that is counted from when an entry node reads the request,
// while its event loop is behind: it holds the job longer than its caller waits, of
// whose lost connection it is not told.
test('a copy does not start beside a run whose deadline was late', async () => {
  const patienceMs = 2_000;
  for (const [turnMs, phaseMs] of grid([290], [60, 120])) {
    const bench = createBench({}, 5_000);
    await bench.run(6_000);
    bench.overload('ye1', turnMs);
    await runLoad(bench, 'ye1', 1_000 + phaseMs);
    bench.submit('ye1', 'j', {estimatedMs: 500, patienceMs});
    bench.orderFault = call => (call === 'stop' ? 'order_lost' : 'ok');
    await runLoad(bench, 'ye1', 2 * turnMs);
    bench.starve('ye1', 0);
    await runLoad(bench, 'ye1', patienceMs - 2 * turnMs);
    bench.callers.remove('j');
    await runLoad(bench, 'ye1', RESEND_MS);
    await assertCopyRunsAlone(bench, 'ze1', `${turnMs} ms, ${phaseMs} ms`);
  }
});

/** Sends the job again, and checks that it completes without a second run beside. */
async function assertCopyRunsAlone(
  bench: DeploymentBench,
  entry: string,
  message?: string,
) {
  bench.submit(entry, 'j', {...JOB, patienceMs: COPY_PATIENCE_MS});
  await bench.run(COPY_PATIENCE_MS);
  assert.isEmpty(bench.log.overlaps(), message);
  assert.equal(bench.log.answerOf('j'), 'completed', message);
}

/** Creates a deployment in which the task of the job takes `runMs`. */
function createBench(opts = {}, runMs = JOB.estimatedMs): DeploymentBench {
  const bench = new DeploymentBench(opts);
  for (const worker of bench.workers.values()) {
    worker.runMs = task => (task.startsWith('j.') ? runMs : 50);
  }
  return bench;
}

/** Pairs of each of the first numbers with each of the others. */
function grid(first: readonly number[], others: readonly number[]) {
  return first.flatMap(one => others.map(other => [one, other] as const));
}

async function startJob(bench: DeploymentBench): Promise<void> {
  bench.submit('ye1', 'j', JOB);
  await runLoad(bench, 'ye1', 300);
}

/** Submits other jobs, which keep the entry node in contact with its dispatcher. */
async function runLoad(bench: DeploymentBench, entry: string, ms: number) {
  for (let passed = 0; passed < ms; passed += 5) {
    bench.submit(entry, `${entry}-${bench.now}`, {estimatedMs: 50});
    await bench.run(5);
  }
}

/** Submits jobs with a task for each worker of a zone, which extend all leases. */
async function runWideLoad(bench: DeploymentBench, entry: string, ms: number) {
  for (let passed = 0; passed < ms; passed += 20) {
    const id = `${entry}-${bench.now}`;
    if (bench.now % 400 < 20) {
      bench.submit(entry, id, {estimatedMs: 400, tasks: 50});
    }
    await bench.run(20);
  }
}
