import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

/** Patience of callers that outlasts every takeover. */
const PATIENT = {patienceMs: 4_000};

/** A deployment whose zones are granted: `x` to `xc2`, `y` to `yc1`, ... */
async function createRunningBench(runMs = 100): Promise<DeploymentBench> {
  const bench = new DeploymentBench();
  bench.runMs = runMs;
  await bench.run(6_000);
  await bench.runLoad(500, 50, PATIENT);
  return bench;
}

/** Ends the load and checks what must hold in every history. */
async function assertServed(
  bench: DeploymentBench,
  since: number,
  maxGapsMs: Readonly<Record<string, number>>,
): Promise<void> {
  const until = bench.now;
  await bench.run(4_500);
  const gaps = Object.keys(maxGapsMs).map(zone => {
    return [zone, bench.log.longestGap(zone, since, until)] as const;
  });
  for (const [zone, gapMs] of gaps) {
    assert.isAtMost(gapMs, maxGapsMs[zone]!, `gap of zone ${zone}`);
  }
  assert.isEmpty(bench.log.overlaps());
  assert.isEmpty(bench.log.jobsWith(undefined));
}

test('each large zone is granted to a core node that does not lead', async () => {
  const bench = await createRunningBench();
  assert.equal(bench.leader, 'xc1');
  assert.deepEqual(bench.holders(), {x: ['xc2'], y: ['yc1'], z: ['zc1']});
  await assertServed(bench, 6_000, {x: 200, y: 200, z: 200});
  assert.isEmpty(bench.log.jobsWith('refused'));
});

test('the loss of a holder stops its zone only, for half a second', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.kill('yc1');
  await bench.runLoad(3_000, 50, PATIENT);
  assert.deepEqual(bench.holders()['y'], ['yc2']);
  await assertServed(bench, since, {x: 100, y: 700, z: 100});
  assert.lengthOf(bench.log.jobsWith('completed'), bench.log.answers.size);
});

// A holder that thaws has old jobs, and timers that fire before it has read that
// another node holds its zone.
for (const frozenMs of [300, 700, 1_100, 2_500, 6_000]) {
  test(`a holder frozen for ${frozenMs} ms runs no task again`, async () => {
    const bench = await createRunningBench(400);
    const since = bench.now;
    bench.suspend('yc1');
    await bench.runLoad(frozenMs, 50, PATIENT);
    bench.resume('yc1');
    await bench.runLoad(2_000, 50, PATIENT);
    assert.lengthOf(bench.holders()['y']!, 1);
    await assertServed(bench, since, {x: 100, y: 900, z: 100});
  });
}

test('zones go on without a gap when the leader is lost', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.kill('xc1');
  await bench.runLoad(3_000, 50, PATIENT);
  assert.equal(bench.leader, 'xc2');
  assert.deepEqual(bench.holders(), {y: ['yc1'], z: ['zc1']});
  // The new leader has no second core node in its zone and dispatches for it.
  await assertServed(bench, since, {x: 200, y: 100, z: 100});
  assert.lengthOf(bench.log.jobsWith('completed'), bench.log.answers.size);
});

test('zones go on without a gap while the leader is frozen and after', async () => {
  const bench = await createRunningBench(400);
  const since = bench.now;
  bench.suspend('xc1');
  await bench.runLoad(3_000, 50, PATIENT);
  bench.resume('xc1');
  await bench.runLoad(3_000, 50, PATIENT);
  await assertServed(bench, since, {x: 600, y: 100, z: 100});
});

// Its timers fire before it has read the messages of the holders.
test('a leader that was frozen for a moment takes no zone from its holder', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.suspend('xc1');
  await bench.runLoad(550, 50, PATIENT);
  bench.resume('xc1');
  await bench.runLoad(2_000, 50, PATIENT);
  assert.equal(bench.leader, 'xc1');
  assert.equal(bench.log.count('zone_closed', since), 0);
  await assertServed(bench, since, {x: 100, y: 100, z: 100});
});

// A zone that comes back after a partition once was taken from its holder, and
// waited for the takeover.
for (const cutMs of [400, 600, 900, 1_600, 5_000, 12_000]) {
  test(`a zone cut off for ${cutMs} ms keeps its holder`, async () => {
    const bench = await createRunningBench();
    const since = bench.now;
    bench.isolate(bench.inZone('y'), bench.outsideOf('y'));
    await bench.runLoad(cutMs, 50, PATIENT);
    bench.heal();
    await bench.runLoad(3_000, 50, PATIENT);
    assert.deepEqual(bench.holders()['y'], ['yc1']);
    assert.equal(bench.log.count('zone_closed', since), 0);
    await assertServed(bench, since, {x: 100, y: 100, z: 100});
    assert.lengthOf(bench.log.jobsWith('completed'), bench.log.answers.size);
  });
}

test('the zone of the leader goes on when it is cut off', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.isolate(bench.inZone('x'), bench.outsideOf('x'));
  await bench.runLoad(4_000, 50, PATIENT);
  bench.heal();
  await bench.runLoad(3_000, 50, PATIENT);
  assert.deepEqual(bench.holders()['x'], ['xc2']);
  await assertServed(bench, since, {x: 100, y: 300, z: 100});
});

test('the workers refuse a holder that the leader has lost sight of', async () => {
  const bench = await createRunningBench(400);
  const since = bench.now;
  bench.isolate(['yc1'], bench.inZone('x').concat(bench.inZone('z')));
  bench.isolate(['yc1'], ['yc2']);
  await bench.runLoad(3_000, 50, PATIENT);
  assert.deepEqual(bench.holders()['y'], ['yc2']);
  bench.heal();
  await bench.runLoad(2_000, 50, PATIENT);
  await assertServed(bench, since, {x: 100, y: 700, z: 100});
});

// The old holder still reaches some workers that the new one does not.
test('no task runs twice when two holders reach different workers', async () => {
  const bench = await createRunningBench(400);
  const since = bench.now;
  const workers = bench.inZone('y').filter(id => id.includes('w'));
  bench.isolate(['yc1'], ['xc1', 'xc2', 'yc2', 'zc1', 'zc2']);
  bench.isolate(['yc1'], workers.slice(0, 25));
  bench.isolate(['yc2'], workers.slice(25));
  await bench.runLoad(4_000, 50, PATIENT);
  bench.heal();
  await bench.runLoad(2_000, 50, PATIENT);
  assert.lengthOf(bench.holders()['y']!, 1);
  await assertServed(bench, since, {x: 100, z: 100});
});

test('the leader dispatches for a zone without core nodes', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.kill('yc1');
  bench.kill('yc2');
  await bench.runLoad(4_000, 50, PATIENT);
  assert.isUndefined(bench.holders()['y']);
  await assertServed(bench, since, {x: 100, y: 1_300, z: 100});
  assert.isEmpty(bench.log.jobsWith('given_up'));
});

test('a core node that is back gets its zone when it knows the workers', async () => {
  const bench = await createRunningBench();
  bench.kill('yc1');
  bench.kill('yc2');
  await bench.runLoad(4_000, 50, PATIENT);
  const since = bench.now;
  bench.startCore('yc1');
  await bench.runLoad(5_000, 50, PATIENT);
  assert.deepEqual(bench.holders()['y'], ['yc1']);
  await assertServed(bench, since, {x: 100, y: 200, z: 100});
  assert.isEmpty(bench.log.jobsWith('given_up'));
  assert.isEmpty(bench.log.jobsWith('refused', since));
});

// The link to the second node of the zone fails in one direction only.
test('the leader dispatches for a zone whose grants are lost', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.cutFrom('xc1', 'yc2');
  bench.kill('yc1');
  await bench.runLoad(3_000, 50, PATIENT);
  assert.isUndefined(bench.holders()['y']);
  assert.isAbove(bench.log.count('zone_granted', since), 0);
  await assertServed(bench, since, {x: 100, y: 1_300, z: 100});
  assert.isEmpty(bench.log.jobsWith('given_up'));
});

test('a restarted holder does not use the token of its earlier process', async () => {
  const bench = await createRunningBench(400);
  const since = bench.now;
  bench.kill('yc1');
  bench.startCore('yc1');
  await bench.runLoad(3_000, 50, PATIENT);
  assert.deepEqual(bench.holders()['y'], ['yc2']);
  await assertServed(bench, since, {x: 100, y: 700, z: 100});
});

test('fallbacks dispatch while all core nodes are frozen', async () => {
  const bench = await createRunningBench(400);
  const cores = [...bench.cores.keys()];
  for (const id of cores) bench.suspend(id);
  await bench.runLoad(5_000, 50, PATIENT);
  assert.deepEqual(bench.fallbacks(), ['xe1', 'ye1', 'ze1']);
  const since = bench.now;
  for (const id of cores) bench.resume(id);
  await bench.runLoad(3_000, 50, PATIENT);
  assert.isEmpty(bench.fallbacks());
  assert.sameMembers(Object.keys(bench.holders()), ['x', 'y', 'z']);
  await assertServed(bench, since, {x: 900, y: 900, z: 900});
});

test('a planned stop of a holder and of the leader cuts no request short', async () => {
  const bench = await createRunningBench(400);
  const since = bench.now;
  for (const id of ['yc1', 'xc1']) {
    bench.announceDrain(id);
    await bench.runLoad(200, 50, PATIENT);
    bench.close(id);
    await bench.runLoad(700, 50, PATIENT);
    bench.kill(id);
    await bench.runLoad(1_500, 50, PATIENT);
  }
  assert.equal(bench.leader, 'xc2');
  await assertServed(bench, since, {x: 200, y: 200, z: 100});
  assert.lengthOf(bench.log.jobsWith('completed'), bench.log.answers.size);
  for (const worker of bench.workers.values()) {
    assert.isEmpty(worker.history.filter(({from, to}) => to - from < 400));
  }
});

// A worker that is told that it may leave must not be given new work.
test('a drain that another core node was told reaches the holder at once', async () => {
  const bench = await createRunningBench();
  const worker = bench.workers.get('yw1')!;
  worker.report = {...worker.report, isDraining: true};
  const isTold = bench.report(worker, 'zc2');
  await bench.run(10);
  assert.equal(await isTold, 'zc2:1');
  const starts: number[] = [];
  worker.onStart = () => starts.push(bench.now);
  for (let n = 0; n < 10; n += 1) {
    bench.submit('ye1', `many${n}`, {tasks: 10, ...PATIENT});
  }
  await bench.run(2_000);
  assert.isEmpty(starts);
});

// With one dispatcher for all zones, that one knew.
test('a job that ran in one zone is not refused as not run in another', async () => {
  const bench = await createRunningBench();
  bench.runMs = 3_000;
  bench.submit('ye1', 'j', {estimatedMs: 3_000, patienceMs: 1_000});
  await bench.run(1_200);
  assert.equal(bench.log.answerOf('j'), 'given_up');
  const tooLarge = {estimatedMs: 1, patienceMs: 500, tasks: 1_000};
  bench.submit('xe1', 'j', tooLarge);
  bench.submit('xe1', 'k', tooLarge);
  await bench.run(1_000);
  const kinds = ['j', 'k'].map(id => bench.log.answers.get(id)!.at(-1)!.kind);
  assert.deepEqual(kinds, ['given_up', 'refused']);
});

test('small zones have one leader for all of them', async () => {
  const bench = new DeploymentBench({workersPerZone: 20});
  await bench.run(6_000);
  await bench.runLoad(500, 50, PATIENT);
  const since = bench.now;
  assert.deepEqual(bench.holders(), {});
  bench.kill('xc1');
  await bench.runLoad(3_000, 50, PATIENT);
  assert.equal(bench.leader, 'xc2');
  assert.deepEqual(bench.holders(), {});
  assert.isEmpty(bench.log.events.filter(e => e.event.startsWith('zone_')));
  await assertServed(bench, since, {x: 900, y: 900, z: 900});
});

/** Copies an object without some fields, given as words. */
function omit(value: object, fields: string): object {
  const omitted = fields.split(' ');
  const kept = Object.entries(value).filter(([key]) => !omitted.includes(key));
  return Object.fromEntries(kept);
}

/** Makes a node send and understand only what an older process does. */
function makeOld(bench: DeploymentBench, old: string | undefined): void {
  bench.network.translate = (from, to, body) => {
    const message = body as Record<string, unknown>;
    const isSubmission = message['job'] !== undefined;
    if (from === old && isSubmission) return omit(message, 'dispatcher');
    if (message['role'] === undefined) return body;
    if (from === old) return omit(message, 'isZoned zoneToken startedAt');
    const lead = message['lead'] as object | undefined;
    if (to !== old || !lead) return body;
    const unknown = 'zone grants unserved firstToken';
    return {...message, lead: omit(lead, unknown)};
  };
}

// During a rolling restart, older processes would take a holder for the leader.
test('nothing is granted while an older process is there', async () => {
  const bench = new DeploymentBench();
  makeOld(bench, 'ye1');
  await bench.run(6_000);
  assert.deepEqual(bench.holders(), {});
  const since = bench.now;
  await bench.runLoad(500, 50, PATIENT);
  makeOld(bench, undefined);
  // A new process sends its presence to all core nodes at once.
  bench.entries.get('ye1')!.presence.makeDue();
  await bench.runLoad(2_000, 50, PATIENT);
  assert.deepEqual(bench.holders(), {x: ['xc2'], y: ['yc1'], z: ['zc1']});
  makeOld(bench, 'ze2');
  await bench.runLoad(2_000, 50, PATIENT);
  assert.deepEqual(bench.holders(), {});
  await assertServed(bench, since, {x: 300, y: 300, z: 300});
  // Runs in other zones are stopped when a zone is granted for the first time.
  assert.isAtMost(bench.log.jobsWith('given_up').length, 20);
  assert.isEmpty(bench.log.jobsWith('refused'));
});

// Holders lend what they have to spare, which is too little for a whole zone.
test('an evacuated zone is served by all others, under one leader', async () => {
  const bench = await createRunningBench();
  const since = bench.now;
  bench.config = {version: 2, evacuated: ['y']};
  await bench.runLoad(1_000, 50, PATIENT);
  assert.deepEqual(bench.holders(), {});
  await bench.runLoad(2_000, 50, PATIENT);
  bench.config = {version: 3, evacuated: []};
  await bench.runLoad(3_000, 50, PATIENT);
  assert.deepEqual(Object.keys(bench.holders()).sort(), ['x', 'y', 'z']);
  await assertServed(bench, since, {x: 300, y: 300, z: 300});
  assert.isEmpty(bench.log.jobsWith('refused'));
});

test('zones with one core node each have their own dispatchers', async () => {
  const bench = new DeploymentBench({coresPerZone: 1});
  await bench.run(6_000);
  assert.deepEqual(bench.holders(), {y: ['yc1'], z: ['zc1']});
  const since = bench.now;
  await bench.runLoad(1_000, 50, PATIENT);
  await assertServed(bench, since, {x: 200, y: 200, z: 200});
});
