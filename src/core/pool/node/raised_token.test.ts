import {assert} from 'chai';
import {DeploymentBench} from '../../../../test-support/fakes/pool/deployment_bench.js';

// Guards against waiting for the workers of zones that no fallback has dispatched: their
// entry nodes state the raised token, too.
test('a token is raised for the zone of a fallback only', async () => {
  const bench = new DeploymentBench({workersPerZone: 8});
  await bench.run(5_000);
  const zone = bench.leader!.startsWith('z') ? 'y' : 'z';
  bench.isolate(bench.inZone(zone), bench.outsideOf(zone));
  const cores = bench.seeds.filter(id => id.startsWith(zone));
  bench.isolate(cores, bench.inZone(zone));
  await bench.run(4_000);
  assert.lengthOf(bench.fallbacks(), 1);
  bench.heal();
  await bench.run(4_000);
  const raises = bench.log.events.filter(e => e.event === 'token_raised');
  assert.deepEqual(
    raises.map(({fields}) => fields['zones']),
    [[zone]],
  );
});
