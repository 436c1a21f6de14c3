import {createSocket} from 'node:dgram';
import {assert} from 'chai';
import {DispatchBench} from '../../../test-support/fakes/dispatch_bench.js';
import {SystemClock} from '../system_clock.js';
import {Telemetry} from './telemetry.js';

function telemetry(statsd?: {host: string; port: number}): Telemetry {
  return new Telemetry({
    statsd,
    prefix: 'test.',
    tags: {node: 'a1'},
    maxSeries: 10,
    clock: new SystemClock(),
    onError: detail => {
      throw new Error(detail);
    },
  });
}

test('each job and each start is recorded once', () => {
  const {histograms, observer} = telemetry();
  const bench = new DispatchBench({observer});
  bench.submit([300, 100, 100]);
  bench.clock.advance(1_000);
  // Further tasks end after the first failure; the job is still counted once.
  bench.submit([100, 100], {
    tasks: [{payload: {ms: 50, fail: true}}, {payload: {ms: 100}}],
  });
  bench.clock.advance(1_000);
  const count = (measure: string) =>
    histograms
      .summaries()
      .filter(each => each.measure === measure && each.by === 'class')
      .map(each => each.count);
  assert.deepEqual(count('response'), [2]);
  assert.deepEqual(count('queue'), [5]);
});

test('metrics reach a StatsD server with prefix and tags', async () => {
  const server = createSocket('udp4');
  await new Promise<void>(resolve => server.bind(0, '127.0.0.1', resolve));
  const received = new Promise<string>(resolve =>
    server.once('message', message => resolve(message.toString())),
  );
  const {port} = server.address();
  const sender = telemetry({host: '127.0.0.1', port});
  const bench = new DispatchBench({observer: sender.observer});
  bench.submit([10]);
  bench.clock.advance(1_000);
  await sender.stop();
  const text = await received;
  server.close();
  assert.match(text, /test\.jobs\.finished:1\|c\|#.*node:a1/);
  assert.match(text, /test\.jobs\.response_time:\d+\|ms\|#.*class:default/);
});
