import {assert} from 'chai';
import {ZonePoolBench} from '../../../../test-support/fakes/pool/zone_pool_bench.js';

const BUSY = {elapsedMs: 50, usedMs: 50, delayMs: 0};

function makeBusy(bench: ZonePoolBench, id: string): void {
  const {relief} = bench.entries.get(id)!;
  for (let n = 0; n < 100; n += 1) relief.update(BUSY, bench.clock.now());
}

// Without the others' pressure a node would never be withdrawn.
test('the entry nodes of a zone learn the pressure of each other', async () => {
  const bench = new ZonePoolBench();
  const heard = bench.recordPressure('ze2');
  await bench.run(6_000);
  makeBusy(bench, 'ze1');
  await bench.run(3_000);
  const last = heard.filter(p => p.node === 'ze1').at(-1);
  assert.isAbove(last?.pressure ?? 0, 0.9);
  assert.isFalse(last?.isRelieved);
  assert.notInclude(
    heard.map(p => p.node),
    'ye1',
  );
});

test('a node that shuts down is removed from the others at once', async () => {
  const bench = new ZonePoolBench();
  const heard = bench.recordPressure('ze2');
  await bench.run(6_000);
  bench.entries.get('ze1')!.presence.announceDrain();
  await bench.run(100);
  assert.deepInclude(heard.at(-1), {node: 'ze1', isGone: true});
});
