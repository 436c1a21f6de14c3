import {assert} from 'chai';
import {request} from 'undici';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';
import {EmulatedJob} from './emulator/emulated_job.js';

const HEARTBEAT = {
  backend: 'guarded',
  zone: 'z0',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_remaining_ms: 0,
  capacity: {cpu: 16_000, mem_mb: 32_768, gpu: 0},
  seq: 1,
  born: 1,
};
const UNUSABLE = ['127.0.0.1:99999', '300.0.0.1:8080', '1.2.3:80', '...:1'];

async function post(url: string, body: object, headers = {}): Promise<number> {
  const res = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify(body),
  });
  await res.body.dump();
  return res.statusCode;
}

// Guards against a core process that ends because one worker announces an
// address that cannot be called, and with it all dispatching.
test('processes survive workers with addresses that cannot be called', async () => {
  const exits: string[] = [];
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 1, entries: 1, workers: 2},
    onUnexpectedExit: (_process, code) => exits.push(code),
  });
  try {
    await deployment.start();
    for (const [n, address] of UNUSABLE.entries()) {
      const body = {...HEARTBEAT, address};
      await post(deployment.heartbeatUrl(`foreign-${n}`), body);
    }
    const step = {tasks: 4, cpu: 1_000, memoryMb: 1, runMs: 50};
    const job = new EmulatedJob('5c0e7a21d94b36f8', [step]);
    const [entry] = deployment.ofRole('entry');
    const {url, headers, body} = deployment.submission(entry!, job);
    assert.equal(await post(url, body, headers), 200);
    assert.deepEqual(exits, []);
  } finally {
    await deployment.stop();
  }
});
