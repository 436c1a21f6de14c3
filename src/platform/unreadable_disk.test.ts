import {readdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {assert} from 'chai';
import {request} from 'undici';
import {waitUntil} from '../../test-support/cluster/wait_until.js';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';

// Guards against a core process that ends at each start because its data folder
// cannot be read: it has more to do than to vote.
test('a core process starts although its data folder is corrupt', async () => {
  const exits: string[] = [];
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 3, entries: 1, workers: 1},
    onUnexpectedExit: (_process, code) => exits.push(code),
  });
  try {
    await deployment.start();
    const [core] = deployment.ofRole('core');
    await core!.kill();
    const folder = join(deployment.dir, core!.opts.address);
    for (const file of readdirSync(folder)) {
      writeFileSync(join(folder, file), 'not a frame');
    }
    core!.start();
    // It reads the configuration from the leader, which the others have elected.
    const url = `http://${core!.opts.address}:8166/Config.Get`;
    await waitUntil('the core process to answer', async () => {
      if (exits.length > 0) return true;
      const res = await request(url).catch(() => undefined);
      await res?.body.dump();
      return res?.statusCode === 200;
    });
    assert.deepEqual(exits, []);
  } finally {
    await deployment.stop();
  }
});
