import {assert} from 'chai';
import {FakeClock} from '../../test-support/fakes/fake_clock.js';
import {FakeWorkerClient} from '../../test-support/fakes/pool/fake_worker_client.js';
import {ClientWarmUp} from './client_warm_up.js';

// Guards against a warm-up that never ends because its calls are
// not answered.
test('the warm-up ends although no call is answered', async () => {
  const clock = new FakeClock();
  const client = new FakeWorkerClient(clock, new Map());
  const warmUp = new ClientWarmUp(client, '127.0.0.1:1', 60);
  let slices = 0;
  while (!warmUp.isOver && slices < 1_000) {
    const slice = warmUp.step();
    for (let ms = 0; ms < 10; ms += 1) {
      clock.advance(100);
      for (let turn = 0; turn < 8; turn += 1) await Promise.resolve();
    }
    await slice;
    slices += 1;
  }
  assert.isTrue(warmUp.isOver);
  assert.isAbove(client.calls.length, 100);
});
