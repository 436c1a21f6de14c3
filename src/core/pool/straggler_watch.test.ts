import {assert} from 'chai';
import {PoolBench} from '../../../test-support/fakes/pool/pool_bench.js';

async function warmUp(bench: PoolBench, lead: ReturnType<PoolBench['lead']>) {
  await bench.run(50, lead);
  for (let n = 0; n < 40; n += 1) {
    lead.submit('e', PoolBench.submission(`warm${n}`));
    await bench.run(60, lead);
  }
  await bench.run(300, lead);
}

// Tasks on some workers stand still while their health is good.
test('a task that stands still is moved to another worker', async () => {
  const bench = new PoolBench(2);
  const lead = bench.lead();
  await warmUp(bench, lead);
  let isFirst = true;
  for (const worker of bench.workers.values()) {
    worker.runMs = () => {
      const ms = isFirst ? 60_000 : 100;
      isFirst = false;
      return ms;
    };
  }
  lead.submit('e', PoolBench.submission('j'));
  await bench.run(1_500, lead);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
  assert.deepEqual(bench.overlaps(), []);
});

// Declared run times are often far off.
test('a task that is long everywhere still ends', async () => {
  const bench = new PoolBench(2);
  const lead = bench.lead();
  await warmUp(bench, lead);
  for (const worker of bench.workers.values()) worker.runMs = () => 1_500;
  lead.submit('e', PoolBench.submission('j'));
  await bench.run(5_000, lead);
  assert.equal(bench.answers.get('j')?.kind, 'completed');
});
