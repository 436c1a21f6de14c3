import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const RUN_MS = 300;
/** Time after which a caller sends a job again whose reply was lost. */
const RESEND_MS = 1_300;

/** A deployment whose zones are granted and have told each other their room. */
async function createRunningBench(): Promise<DeploymentBench> {
  const bench = new DeploymentBench();
  bench.runMs = RUN_MS;
  await bench.run(6_000);
  await bench.runLoad(400, 100);
  await bench.run(1_000);
  return bench;
}

/** Submits jobs of 8 tasks that need twice the places of zone y; returns ids. */
function submitBurst(bench: DeploymentBench): string[] {
  return Array.from({length: 38}, (_, n) => {
    const id = `job${n}`;
    bench.submit(`ye${1 + (n % 2)}`, id, {tasks: 8});
    return id;
  });
}

function holderOf(bench: DeploymentBench, zone: string): string {
  return bench.holders()[zone]![0]!;
}

/** Jobs that the holder of zone y moved, with the nodes they were moved to. */
function redirected(bench: DeploymentBench): Map<string, string> {
  const moves = bench.log.events.filter(e => e.event === 'job_redirected');
  return new Map(
    moves.map(({fields}) => [String(fields['job']), String(fields['to_node'])]),
  );
}

function countStarts(bench: DeploymentBench, job: string): number {
  return [...bench.workers.values()]
    .flatMap(w => [...w.history.map(run => run.task), ...w.running.keys()])
    .filter(task => task.startsWith(`${job}.`)).length;
}

/** Zones in which tasks of a job have run. */
function zonesOf(bench: DeploymentBench, job: string): string[] {
  const ran = [...bench.workers.values()].filter(w =>
    w.history.some(({task}) => task.startsWith(`${job}.`)),
  );
  return [...new Set(ran.map(w => w.report.zone))];
}

test('a burst in one zone is served by the others too', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  const ids = submitBurst(bench);
  await bench.run(2_000);
  const moved = redirected(bench);
  assert.isAbove(moved.size, 5);
  for (const node of moved.values()) assert.match(node, /^[xz]c/);
  for (const id of moved.keys()) {
    const [answer] = bench.log.answers.get(id)!;
    assert.equal(answer?.kind, 'completed', id);
    assert.isAtMost(answer!.at - since, 1.6 * RUN_MS + 60, id);
  }
  assert.isEmpty(bench.log.overlaps());
  for (const id of ids) assert.lengthOf(bench.log.answers.get(id)!, 1);
});

test('a lost redirect is repeated on the next poll', async () => {
  const bench = await createRunningBench();
  const holder = holderOf(bench, 'y');
  submitBurst(bench);
  await bench.run(1);
  bench.isolate([holder], ['ye1', 'ye2']);
  await bench.run(4);
  bench.heal();
  await bench.run(5);
  const moved = redirected(bench);
  assert.isAbove(moved.size, 0);
  for (const id of moved.keys()) assert.equal(countStarts(bench, id), 0);
  await bench.run(2_000);
  for (const [id, node] of moved) {
    assert.equal(bench.log.answerOf(id), 'completed', id);
    assert.deepEqual(zonesOf(bench, id), [node[0]], id);
  }
  assert.isEmpty(bench.log.overlaps());
});

test('a job whose lender is lost is run by the successor in that zone', async () => {
  const bench = await createRunningBench();
  const lender = holderOf(bench, 'z');
  for (let n = 0; n < 38; n += 1) {
    const opts = {tasks: 8, patienceMs: 6_000};
    bench.submit(`ye${1 + (n % 2)}`, `job${n}`, opts);
  }
  await bench.run(50);
  const moved = [...redirected(bench)].filter(([, node]) => node === lender);
  assert.isNotEmpty(moved);
  bench.kill(lender);
  await bench.run(5_000);
  assert.notEqual(holderOf(bench, 'z'), lender);
  for (const [id] of moved) {
    assert.equal(bench.log.answerOf(id), 'completed', id);
    assert.deepEqual(zonesOf(bench, id), ['z'], id);
  }
  assert.isEmpty(bench.log.overlaps());
});

test('the loss of the home changes nothing for a moved job', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  submitBurst(bench);
  await bench.run(20);
  const moved = redirected(bench);
  assert.isNotEmpty(moved);
  bench.kill(holderOf(bench, 'y'));
  await bench.run(1_500);
  for (const id of moved.keys()) {
    const [answer] = bench.log.answers.get(id)!;
    assert.equal(answer?.kind, 'completed', id);
    assert.isAtMost(answer!.at - since, 1.6 * RUN_MS + 60, id);
  }
  await bench.run(3_000);
  assert.isEmpty(bench.log.overlaps());
});

// The home zone has forgotten the job, which still runs in another zone.
test('a moved job that its caller sends to another entry node runs once', async () => {
  const bench = await createRunningBench();
  submitBurst(bench);
  await bench.run(20);
  const moved = redirected(bench);
  assert.isNotEmpty(moved);
  bench.isolate(['ye1', 'ye2'], [...new Set(moved.values())]);
  for (const id of moved.keys()) bench.submit('ye2', id, {tasks: 8});
  await bench.run(20);
  bench.heal();
  await bench.run(2_000);
  for (const id of moved.keys()) {
    assert.equal(bench.log.answerOf(id), 'completed', id);
    assert.isAtMost(countStarts(bench, id), 8, id);
  }
  assert.isEmpty(bench.log.overlaps());
});

// The caller has lost its connection together with the entry node.
test('a moved job of a lost entry node runs again without an overlap', async () => {
  const bench = await createRunningBench();
  bench.runMs = 1_400;
  const opts = {tasks: 8, patienceMs: 6_000};
  for (let n = 0; n < 38; n += 1) bench.submit('ye1', `job${n}`, opts);
  await bench.run(20);
  const moved = redirected(bench);
  assert.isNotEmpty(moved);
  bench.kill('ye1');
  bench.kill(holderOf(bench, 'y'));
  await bench.run(RESEND_MS);
  for (const id of moved.keys()) bench.submit('ye2', id, opts);
  await bench.run(6_000);
  for (const id of moved.keys()) {
    assert.equal(bench.log.answerOf(id), 'completed', id);
  }
  assert.isEmpty(bench.log.overlaps());
});

// The home has started nothing, so that the caller may be told "not run".
test('a refusal of the lender is passed on as "not run"', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  submitBurst(bench);
  // The lenders fill up with long runs in the same moment.
  for (const worker of bench.workers.values()) {
    if (worker.report.zone !== 'y') worker.runMs = () => 8_000;
  }
  for (let n = 0; n < 100; n += 1) {
    const opts = {tasks: 2, estimatedMs: 8_000};
    bench.submit(n % 2 ? 'xe1' : 'ze1', `own${n}`, opts);
  }
  await bench.run(2_000);
  const moved = [...redirected(bench).keys()];
  const refused = moved.filter(id => bench.log.answerOf(id) === 'refused');
  assert.isNotEmpty(refused);
  for (const id of refused) {
    assert.equal(countStarts(bench, id), 0, id);
    const [answer] = bench.log.answers.get(id)!;
    assert.isAtMost(answer!.at - since, 3 * (1.6 * RUN_MS + 60), id);
  }
  assert.isEmpty(bench.log.overlaps());
});

test('a zone of the leader neither lends nor borrows', async () => {
  const bench = new DeploymentBench({coresPerZone: 1});
  bench.runMs = RUN_MS;
  await bench.run(7_000);
  assert.notProperty(bench.holders(), 'x');
  for (let n = 0; n < 38; n += 1) bench.submit('xe1', `job${n}`, {tasks: 8});
  await bench.run(2_000);
  assert.isEmpty(redirected(bench));
  assert.isEmpty(bench.log.overlaps());
});
