import {once} from 'node:events';
import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {assert} from 'chai';
import {waitUntil} from '../../test-support/cluster/wait_until.js';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';

const PORTS = {metrics: 9_464, callers: 8_161, control: 8_166, peers: 7_720};

async function take(host: string, port: number): Promise<Server> {
  const server = createServer().listen(port, host);
  await once(server, 'listening');
  return server;
}

// Guards against processes that end because another process has one of their
// ports, for example an earlier process that is still stopping.
test('processes start beside taken ports and use them when they are free', async () => {
  const exits: string[] = [];
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 1, entries: 2, workers: 2},
    onUnexpectedExit: (_process, code) => exits.push(code),
  });
  const [core] = deployment.ofRole('core');
  const [first, second] = deployment.ofRole('entry');
  const addressOf = (process?: typeof core) => process!.opts.address;
  const servers = [
    await take(addressOf(core), PORTS.metrics),
    await take(addressOf(core), PORTS.control),
    await take(addressOf(first), PORTS.metrics),
    await take(addressOf(first), PORTS.peers),
    await take(addressOf(second), PORTS.callers),
  ];
  try {
    const started = deployment.start();
    await waitUntil(
      'an entry process without callers to be ready',
      async () => exits.length > 0 || deployment.isReady(second!),
    );
    assert.deepEqual(exits, []);
    assert.isFalse(await deployment.isReady(first!));
    for (const server of servers) server.close();
    await started;
    assert.deepEqual(exits, []);
  } finally {
    for (const server of servers) server.close();
    await deployment.stop();
  }
});
