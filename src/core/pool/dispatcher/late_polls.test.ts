import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

const LONG = {estimatedMs: 2_500, patienceMs: 8_000, tasks: 2};
const PAUSE_MS = 550;
/** Time after which the entry nodes of a silent leader send no more polls. */
const POLLED_MS = 320;

// A leader that was behind counted polls as sent when it read them. It went on
// with the jobs of a zone that was cut off while the zone's fallback started their
// tasks again.
for (const phaseMs of [100, 140, 180, 220, 300]) {
  test(`polls that are read late prolong no job of a lost zone (${phaseMs} ms)`, async () => {
    const bench = new DeploymentBench({coresPerZone: 1, workersPerZone: 8});
    bench.runMs = LONG.estimatedMs;
    await bench.run(6_000);
    for (let n = 0; n < 20; n += 1) bench.submit('ye1', `y-${n}`, LONG);
    await bench.run(400 + phaseMs);
    assert.equal(bench.leader, 'xc1');
    bench.suspend('xc1');
    await bench.run(POLLED_MS);
    bench.isolate(bench.inZone('y'), bench.outsideOf('y'));
    await bench.run(PAUSE_MS - POLLED_MS);
    bench.resume('xc1');
    await bench.run(6_000);
    assert.equal(bench.log.count('fallback_begun'), 1);
    assert.isEmpty(bench.log.overlaps());
  });
}
