import {assert} from 'chai';
import {request} from 'undici';
import {FakeClock} from '../../test-support/fakes/fake_clock.js';
import {InMemoryPeers} from '../../test-support/fakes/in_memory_peers.js';
import {EntryGateway} from '../core/pool/entry/entry_gateway.js';
import {NodeDirectory} from '../core/pool/node/node_directory.js';
import {CallerFrontend} from './caller_frontend.js';

const JOB = {
  spec: 'x',
  best_effort: true,
  steps: [{count: 1, cpu: 1, mem_mb: 1, estimated_ms: 10}],
};

/** Submits a job with this deadline; returns what the dispatcher is told. */
async function submittedPatienceMs(deadline: string): Promise<number> {
  const clock = new FakeClock();
  const peers = new InMemoryPeers(clock);
  const received: Array<{patienceMs: number}> = [];
  peers.node('c').onMessage('pool.submit', (_from, body) => {
    received.push(body as {patienceMs: number});
  });
  const directory = new NodeDirectory('e', ['c']);
  const claim = {term: 1, token: 1_000, isFallback: false, revision: 1};
  directory.claims.record({...claim, node: 'c', heardAt: clock.now()});
  const noop = () => undefined;
  const observer = {
    recordJobEvent: noop,
    recordStateChange: noop,
    recordResponseTime: noop,
    recordPhase: noop,
    incrementCounter: noop,
  };
  const gateway = new EntryGateway({
    zone: 'z',
    clock,
    peers: peers.node('e'),
    directory,
    observer,
  });
  const frontend = new CallerFrontend({
    host: '127.0.0.1',
    port: 0,
    clock,
    gateway,
    routing: () => undefined,
    observer,
    onError: noop,
  });
  await frontend.http.start();
  const abort = new AbortController();
  const url = `http://127.0.0.1:${frontend.http.port}/p/5c0e7a21d94b36f8`;
  const headers = {
    'content-type': 'application/json',
    'x-deadline-ms': deadline,
  };
  const reply = request(url, {
    method: 'POST',
    headers,
    body: JSON.stringify(JOB),
    signal: abort.signal,
  }).catch(noop);
  while (gateway.openJobs === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  clock.advance(10);
  abort.abort();
  await reply;
  await frontend.http.drain();
  return received[0]!.patienceMs;
}

// An infinite or negative deadline made a submission that the dispatcher
// discards as malformed, and the caller waited for good.
for (const [deadline, expected] of [
  ['1500', 1_500],
  ['Infinity', 3_600_000],
  ['1e99', 3_600_000],
  ['-5', 30_000],
  ['x', 30_000],
] as const) {
  test(`a deadline of ${deadline} ms is passed on as ${expected}`, async () => {
    assert.equal(await submittedPatienceMs(deadline), expected);
  });
}
