import {readFileSync, readdirSync} from 'node:fs';
import {assert} from 'chai';
import {request} from 'undici';
import {ClientCrowd} from '../../test-support/crowd/client_crowd.js';
import {SteadyClock} from '../adapter/steady_clock.js';
import {EmulatedDeployment} from './emulator/emulated_deployment.js';
import {EmulatedJob} from './emulator/emulated_job.js';

const CALLERS_PORT = 8_161;
const MEMORY_MB = 200;
/** Descriptors of the machine, without those that are reserved for other files. */
const MAX_DESCRIPTORS = 600 - 200;
const HEAD =
  'POST /guarded/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: emulated.example\r\n' +
  'Content-Type: application/json\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/**
 * Starts a small deployment, exposes its entry process to a crowd of clients, and
 * checks that it lives within its limits and answers an ordinary request.
 */
async function withstands(count: number, textOf: () => string): Promise<void> {
  const deployment = new EmulatedDeployment({
    ...{clock: new SteadyClock(), zones: 1, cores: 1, entries: 1, workers: 1},
    settings: [`limits.memory_mb=${MEMORY_MB}`, 'limits.max_open_files=600'],
    nodeOptions: ['--max-old-space-size=96'],
  });
  const [entry] = deployment.ofRole('entry');
  const {address} = entry!.opts;
  const crowd = new ClientCrowd({host: address, port: CALLERS_PORT});
  try {
    await deployment.start();
    const {pid} = entry!;
    await crowd.send(count, textOf);
    const step = {tasks: 1, cpu: 1_000, memoryMb: 1, runMs: 50};
    const job = new EmulatedJob('5c0e7a21d94b36f9', [step]);
    const {url, headers, body} = deployment.submission(entry!, job, {
      deadlineMs: 10_000,
    });
    const res = await request(url, {
      method: 'POST',
      headers: {...headers, 'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    await res.body.dump();
    assert.equal(entry!.pid, pid, 'the process ended');
    assert.equal(res.statusCode, 200);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1_024;
    assert.isBelow(peakMb, MEMORY_MB, 'peak of resident memory, in MB');
    const descriptors = readdirSync(`/proc/${pid}/fd`).length;
    assert.isBelow(descriptors, MAX_DESCRIPTORS, 'open descriptors');
  } finally {
    crowd.close();
    await deployment.stop();
  }
}

// Each chunk was kept as an object of its own, a hundred times its size.
test('bodies in tiny chunks that never end leave a process within its memory', () =>
  withstands(60, () => CHUNKED + '1\r\nx\r\n'.repeat(60_000)));

// The limit of all bodies exceeded the memory of the machine.
test('large chunks that stop short of their end leave a process within its memory', () =>
  withstands(600, () => `${CHUNKED}3fff0\r\n${'x'.repeat(0x3fff0 - 16)}`));

// The parser keeps the fields of each head that is not complete.
test('heads without end leave a process within its memory', () =>
  withstands(
    600,
    () => HEAD + Array.from({length: 2_700}, (_, n) => `${n}:\r\n`).join(''),
  ));

test('heads over the limit leave a process within its memory', () =>
  withstands(300, () => `${HEAD}X-Long: ${'x'.repeat(200_000)}`));

test('empty lines without end before a request leave a process within its limits', () =>
  withstands(600, () => '\r\n'.repeat(100_000)));

test('trailers without end leave a process within its memory', () =>
  withstands(
    600,
    () =>
      `${CHUNKED}2\r\n{}\r\n0\r\n` +
      Array.from({length: 2_700}, (_, n) => `${n}:\r\n`).join(''),
  ));

// More connections than descriptors also keep a process from calling its workers.
test('idle connections leave a process within its descriptors', () =>
  withstands(1_000, () => 'GET'));
