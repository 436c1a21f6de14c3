import {assert} from 'chai';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';

// Guards against a deployment that never starts because the first voter ended
// before it had created the configuration log: started again, it is no longer told
// that the deployment starts for the first time.
test('a deployment starts although its first core process had to start again', async () => {
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 3, entries: 1, workers: 1},
  });
  try {
    const [first] = deployment.ofRole('core');
    first!.start();
    await first!.kill();
    await deployment.start();
    const [entry] = deployment.ofRole('entry');
    assert.isTrue(await deployment.isReady(entry!));
  } finally {
    await deployment.stop();
  }
});
