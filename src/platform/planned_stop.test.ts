import {assert} from 'chai';
import {request} from 'undici';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';
import {EmulatedJob} from './emulator/emulated_job.js';

/** Longer than the grace period of 6 s. */
const RUN_MS = 8_000;

// Guards against an entry process that resets the connections of requests that
// are still open at the end of its grace period.
test('a planned stop answers requests that wait for a worker or are at work', async () => {
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 1, entries: 1, workers: 1},
    workerCpu: 1_000,
  });
  try {
    await deployment.start();
    const [entry] = deployment.ofRole('entry');
    const send = async (id: string) => {
      const step = {tasks: 1, cpu: 1_000, memoryMb: 1, runMs: RUN_MS};
      const job = new EmulatedJob(id, [step]);
      const opts = {deadlineMs: 3 * RUN_MS};
      const {url, headers, body} = deployment.submission(entry!, job, opts);
      const res = await request(url, {
        method: 'POST',
        headers: {...headers, 'content-type': 'application/json'},
        body: JSON.stringify(body),
      });
      await res.body.dump();
      return {status: res.statusCode, retryAfter: res.headers['retry-after']};
    };
    const atWork = send('5c0e7a21d94b36f8');
    await new Promise(resolve => setTimeout(resolve, 300));
    const waiting = send('5c0e7a21d94b36f9');
    await new Promise(resolve => setTimeout(resolve, 300));
    const exitCode = entry!.stop();
    assert.deepInclude(await waiting, {status: 503, retryAfter: '1'});
    assert.equal((await atWork).status, 504);
    assert.equal(await exitCode, 0);
  } finally {
    await deployment.stop();
  }
});
