import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const JOB = {estimatedMs: 6_000, patienceMs: 9_000};

// Guards against a job that two fallbacks of a zone have at once: they do not hear
// each other, have the same rank and token, and an entry node that hears both moves
// its jobs to whichever it has heard last.
test('a job is not run by two fallbacks with the same token', async () => {
  const bench = new DeploymentBench({entriesPerZone: 3});
  bench.runMs = JOB.estimatedMs;
  await bench.run(6_000);
  // The leader forgets xe1, so that xe2 gets its rank.
  bench.isolate(['xe1'], [...bench.seeds, 'xe2']);
  await bench.run(15_000);
  for (const id of bench.seeds) bench.kill(id);
  // Both poll the workers at the same time, and one worker does not answer.
  bench.linkDelayMs.set('xe3', 220);
  bench.isolate(['xe1', 'xe2'], ['xw50']);
  await bench.run(2_200);
  bench.linkDelayMs.clear();
  await bench.run(300);
  const begun = bench.log.events.filter(
    ({event, node}) => event === 'fallback_begun' && node.startsWith('x'),
  );
  const [token] = begun.map(({fields}) => fields['token']);
  assert.deepEqual(
    begun.map(({node, fields}) => [node, fields['token']]),
    [
      ['xe1', token],
      ['xe2', token],
    ],
  );
  bench.submit('xe3', 'j', JOB);
  await bench.run(20);
  const busy = [...bench.workers].filter(([, w]) => w.running.size > 0);
  bench.isolate(
    ['xe2'],
    busy.map(([id]) => id),
  );
  await bench.run(9_000);
  assert.isEmpty(bench.log.overlaps());
  assert.equal(bench.log.answerOf('j'), 'completed');
});
